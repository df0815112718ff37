"""Pool of idle connections to one address."""

from typing import Final

from tamarackway_entry.upstream._connection import Connection

_MAX_IDLE: Final = 16


class IdleConnectionPool:
    """Keeps idle connections, reusing the most recently used first."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: list[Connection] = []

    def acquire(self, max_idle_s: float, now_s: float) -> Connection | None:
        """Return an open idle connection, or None.

        :param max_idle_s: longest idle time of the connection in seconds.
        :param now_s: monotonic time in seconds.

        Connections that were idle for longer are closed.
        """
        while self._idle:
            connection = self._idle.pop()
            if now_s - connection.idle_since_s > max_idle_s:
                connection.close()
                self.close()
                return None
            if connection.is_open:
                return connection
            connection.close()
        return None

    def release(self, connection: Connection, now_s: float) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        :param connection: the connection.
        :param now_s: monotonic time in seconds.
        """
        if not connection.reusable or not connection.is_open:
            connection.close()
            return
        connection.idle_since_s = now_s
        self._idle.append(connection)
        if len(self._idle) > _MAX_IDLE:
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
