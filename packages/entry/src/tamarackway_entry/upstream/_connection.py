"""HTTP/1.1 connection that carries one request at a time.

httpcore can neither skip a response that belongs to an earlier request nor
distinguish the clean end of a body without a length from a reset. This
connection does both. It uses the parser of the HTTP server.
"""

import asyncio
import select
import socket
from collections.abc import Callable
from functools import partial
from typing import Final

from tamarackway_core.places import Address

from tamarackway_entry.memory import PROCESS_BUDGET, MemoryBudget
from tamarackway_entry.upstream._errors import (
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    ResponseTooLargeError,
)
from tamarackway_entry.upstream._reader import Response, ResponseReader

# Allows two TCP retransmissions; below the time-outs of routes.
_USER_TIMEOUT_MS: Final = 800
_PIECE_BYTES: Final = 65_536
MatchCallback = Callable[[Response], bool]


class Connection(asyncio.Protocol):
    """Sends a request and reads its response.

    Bytes that arrive while no response is expected close the connection.
    Otherwise they could be taken for the response to a later request.

    :param budget: bounds the memory of all messages.
    """

    def __init__(self, budget: MemoryBudget = PROCESS_BUDGET) -> None:
        """Initialize without a transport."""
        self.reusable = False
        self.idle_since_s: float = 0
        self.is_first = True
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader(
            self._on_response_begin, self._on_response, budget
        )
        self._waiter: asyncio.Future[Response] | None = None
        self._matches: MatchCallback | None = None
        self._unsent = memoryview(b'')
        self._is_writing_paused = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry a request.

        Bytes that have arrived but are not read yet would be taken for a
        response to it, and the end of the stream is only noticed once read.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        opened: socket.socket | None = transport.get_extra_info('socket')
        return opened is None or not _has_unread(opened)

    async def exchange(
        self,
        request: bytes,
        matches: MatchCallback,
        body: bytes | bytearray = b'',
    ) -> Response:
        """Send a request and return its response.

        A large body is sent in pieces, each once the server has read most
        before it, so that the transport holds no copy of it.

        :param request: bytes of the request that precede the body.
        :param matches: returns whether a response belongs to this request;
            other responses are skipped.
        :param body: bytes of the body.
        :raises NotSentError: if the connection was already closed.
        :raises ConnectionLostError: if it ended before the whole response.
        :raises InvalidResponseError: if the response is not valid.
        :raises ResponseTooLargeError: if it does not fit in memory.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise NotSentError('the connection has ended')
        self.reusable = False
        self._matches = matches
        self._waiter = asyncio.get_running_loop().create_future()
        if len(body) <= _PIECE_BYTES:
            transport.write(request + body)
        else:
            self._unsent = memoryview(body)
            transport.write(request)
            self._send_pieces(transport)
        try:
            return await self._waiter
        finally:
            self._end_exchange()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        if isinstance(transport, asyncio.Transport):
            self._transport = transport

    def pause_writing(self) -> None:
        """Stop sending the body; called by the event loop."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Continue to send the body; called by the event loop."""
        self._is_writing_paused = False
        if self._transport is not None:
            self._send_pieces(self._transport)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        if not self._is_waiting():
            self._discard()
            return
        try:
            self._reader.feed(received)
        except (InvalidResponseError, ResponseTooLargeError) as error:
            # Frames of the traceback would keep the received bytes.
            self._fail(error.with_traceback(None))
            self._discard()

    def eof_received(self) -> bool:
        """Handle a clean end of the stream; called by the event loop."""
        if self._is_waiting():
            self._reader.end_cleanly()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection; called by the event loop."""
        self._transport = None
        reason = exc or 'closed by the other side'
        self._fail(ConnectionLostError(f'the connection ended: {reason}'))

    def _on_response_begin(self) -> None:
        if not self._is_waiting():
            self._discard()

    def _on_response(self, response: Response, keep: bool) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done() or self._matches is None:
            self._discard()
            return
        if self._matches(response):
            self.reusable = keep and self._is_flushed()
            waiter.set_result(response)
        elif not keep:
            self._fail(
                ConnectionLostError('only the answer to another request came')
            )

    def _end_exchange(self) -> None:
        self._waiter = None
        self._matches = None
        self._unsent = memoryview(b'')
        self._reader.end_exchange(reusable=self.reusable)
        self.is_first = False
        if not self.reusable:
            self.close()

    def _send_pieces(self, transport: asyncio.Transport) -> None:
        while self._unsent and not self._is_writing_paused:
            piece = self._unsent[:_PIECE_BYTES]
            self._unsent = self._unsent[_PIECE_BYTES:]
            transport.write(piece)

    def _is_flushed(self) -> bool:
        transport = self._transport
        if transport is None or self._unsent:
            return False
        return not transport.get_write_buffer_size()

    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _fail(self, error: Exception) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)

    def _discard(self) -> None:
        self.reusable = False
        self.close()


def _has_unread(opened: socket.socket) -> bool:
    poller = select.poll()
    poller.register(opened, select.POLLIN)
    return bool(poller.poll(0))


async def connect(
    address: Address, budget: MemoryBudget = PROCESS_BUDGET
) -> Connection:
    """Return a new connection.

    :param address: IP number and port of the server.
    :param budget: bounds the memory of all messages.
    :raises NotSentError: if it cannot be opened.
    """
    loop = asyncio.get_running_loop()
    try:
        transport, connection = await loop.create_connection(
            partial(Connection, budget),
            address.host,
            address.port,
        )
    except OSError as error:
        raise NotSentError(f'{address}: {error}') from error
    opened: socket.socket | None = transport.get_extra_info('socket')
    if opened is not None:
        opened.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _USER_TIMEOUT_MS,
        )
    return connection
