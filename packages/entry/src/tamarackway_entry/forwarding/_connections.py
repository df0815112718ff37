"""Kept connections to one target, and the requests that it refused."""

from typing import Final

from tamarackway_entry.upstream import Connection, IdleConnectionPool

_MAX_REFUSED: Final = 1024  # then all connections are replaced


class TargetConnections:
    """Idle connections to one target.

    A faulty target may write an earlier refusal once more. It names the refused
    request, so it would pass for the response to the same request if a caller
    sends that again. Such a request therefore gets a new connection. Refused
    requests are known for as long as any connection on which their refusal
    could come again, so the memory that they need is bounded by retiring the
    connections.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.is_retired = False
        self._pool = IdleConnectionPool()
        self._refused: set[int] = set()

    def acquire(
        self, request_id: str, max_idle_s: float, now_s: float
    ) -> Connection | None:
        """Return an idle connection for a request, or None.

        :param request_id: identifier of the request. Without one, a response
            on a reused connection cannot be told from an earlier one.
        :param max_idle_s: longest idle time of the connection in seconds.
        :param now_s: monotonic time in seconds.
        """
        if not request_id or hash(request_id) in self._refused:
            return None
        return self._pool.acquire(max_idle_s, now_s)

    def release(self, connection: Connection, now_s: float) -> None:
        """Keep a connection for later requests, if it can carry any.

        :param connection: the connection.
        :param now_s: monotonic time in seconds.
        """
        if self.is_retired:
            connection.close()
        else:
            self._pool.release(connection, now_s)

    def record_refusal(self, request_id: str) -> None:
        """Record that the target refused a request.

        :param request_id: identifier of the request.
        """
        self._refused.add(hash(request_id))
        if len(self._refused) >= _MAX_REFUSED:
            self.retire()

    def retire(self) -> None:
        """Close the idle connections, and all others once released."""
        self.is_retired = True
        self._pool.close()
