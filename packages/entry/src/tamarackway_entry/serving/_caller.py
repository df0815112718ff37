"""The caller of a request, which may leave before its response."""

import asyncio
import select
import socket
from collections.abc import Callable, Mapping
from typing import Any, Final

import anyio

# Extensions of the ASGI scope.
CALLER_EXTENSION: Final = 'tamarackway.caller'
READ_EXTENSION: Final = 'tamarackway.read_s'  # by the clock of the loop
_END_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ConnectionEnd:
    """Detects that the other side has ended a connection.

    The operating system knows it before the event loop does, which reads the
    end of the stream only after all bytes before it.

    :param transport: transport of the connection.
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Ask nothing yet."""
        self._transport = transport
        self._poller: select.poll | None = None

    def has_come(self) -> bool:
        """Return whether the other side has closed or reset the connection."""
        if self._transport.is_closing():
            return True
        if self._poller is None:
            opened: socket.socket | None = self._transport.get_extra_info(
                'socket'
            )
            if opened is None:
                return False
            self._poller = select.poll()
            self._poller.register(opened, select.POLLRDHUP)
        return any(
            events & _END_EVENTS for _descriptor, events in self._poller.poll(0)
        )


class Caller:
    """The caller of one request.

    Whatever sends its request on asks :meth:`has_left` right before, also after
    it has waited for a connection. ``late_sends`` counts sends all the same.

    :param has_ended: returns whether its connection has ended, as the
        operating system knows it; None if only messages tell it.
    """

    def __init__(self, has_ended: Callable[[], bool] | None = None) -> None:
        """Start with a caller that is still there."""
        self.late_sends = 0
        self._has_ended = has_ended
        self._left = anyio.Event()

    def has_left(self) -> bool:
        """Return whether the caller has left, asking the operating system."""
        if not self._left.is_set() and self._has_ended and self._has_ended():
            self._left.set()
        return self._left.is_set()

    def mark_left(self) -> None:
        """Record that the caller has left."""
        self._left.set()

    def record_send(self) -> None:
        """Record that the request is being sent to a target or to a peer."""
        if self.has_left():
            self.late_sends += 1

    async def wait_until_left(self) -> None:
        """Wait until the caller is known to have left."""
        await self._left.wait()


def find_read_s(scope: Mapping[str, Any], now_s: float) -> float:
    """Return when the server read a request, before it waited to be started.

    The clock of the event loop may stand still while the machine is suspended,
    so only the time that has passed since then is taken from it.

    :param scope: ASGI scope of the request.
    :param now_s: monotonic time, returned for the scope of another server.
    """
    loop_s = asyncio.get_running_loop().time()
    read_s: float = scope.get('extensions', {}).get(READ_EXTENSION, loop_s)
    return now_s - (loop_s - read_s)


def find_caller(scope: Mapping[str, Any]) -> Caller:
    """Return the caller of a request.

    :param scope: ASGI scope of the request. Without the extension of
        :class:`HttpServer`, only its messages tell that the caller has left.
    """
    return Caller(scope.get('extensions', {}).get(CALLER_EXTENSION))
