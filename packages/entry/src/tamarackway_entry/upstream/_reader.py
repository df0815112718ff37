"""Parser for the responses on one connection."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import httptools

from tamarackway_entry.memory import MemoryBudget, Reservation
from tamarackway_entry.upstream._errors import (
    InvalidResponseError,
    ResponseTooLargeError,
)

# Of everything around bodies: heads, chunk sizes and trailers, also of
# informational responses. Counted from the last byte of a body.
_MAX_FRAMING_BYTES: Final = 65_536
_MAX_HEADERS: Final = 256  # each takes some 150 bytes besides its content
# Of all responses in an exchange, informational and skipped ones included.
_MAX_EXCHANGE_BYTES: Final = 8 * 1024 * 1024 + _MAX_FRAMING_BYTES
# Growing one buffer for each large body would fragment the heap.
_PIECE_BYTES: Final = 65_536
_FIRST_STATUS: Final = 100
_LAST_STATUS: Final = 599
_FIRST_FINAL_STATUS: Final = 200
_TRANSFER_CODING: Final = b'transfer-encoding'
_CHUNKED: Final = b'chunked'
_FRAMING: Final = frozenset((b'content-length', _TRANSFER_CODING))
_BODILESS: Final = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    :param status: HTTP status.
    :param headers: names in lower case and values.
    :param body: all bytes of the body.
    :param reservation: counts the memory of the body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reservation: Reservation | None = field(default=None, compare=False)

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None.

        :param name: name of the header in lower case.
        """
        for known, content in self.headers:
            if known == name:
                return content
        return None


class ResponseReader:
    """Parses the bytes that a server sends.

    :param on_begin: called at the start of each response.
    :param on_response: called with each complete response, and whether the
        server keeps the connection open.
    :param budget: bounds the memory of all messages.
    """

    def __init__(
        self,
        on_begin: Callable[[], None],
        on_response: Callable[[Response, bool], None],
        budget: MemoryBudget,
    ) -> None:
        """Initialize before the first response."""
        self._on_begin = on_begin
        self._on_response = on_response
        self._budget = budget
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytearray] = []
        self._headers_complete = False
        self._is_too_large = False
        self._framing_bytes = 0
        self._exchange_bytes = 0
        self._held_bytes = 0

    def end_exchange(self, *, reusable: bool) -> None:
        """Free the bytes received for the current request.

        The connection, this reader and its parser refer to each other, so
        that they outlive the exchange until the cyclic collector runs.

        :param reusable: whether another exchange may follow.
        """
        self._clear()
        if not reusable:
            # The parser may hold a header that has not ended.
            self._parser = httptools.HttpResponseParser(None)
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        self._exchange_bytes = 0
        self._framing_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        :param received: bytes received on the connection.
        :raises InvalidResponseError: if the response is invalid or endless.
        :raises ResponseTooLargeError: if it is too large or memory is short.
        """
        self._exchange_bytes += len(received)
        self._held_bytes += len(received)
        self._framing_bytes += len(received)
        fits = self._budget.add(len(received), self._exchange_bytes)
        if self._exchange_bytes > _MAX_EXCHANGE_BYTES:
            raise InvalidResponseError('the answer is too long')
        if not fits:
            raise ResponseTooLargeError('no memory is left for the answer')
        self._parse(received)
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            raise InvalidResponseError(
                'the head or the trailers of the answer are too long'
            )

    def end_cleanly(self) -> None:
        """Handle the end of the stream, which ends a body without a length."""
        if self._headers_complete and not self._is_framed():
            self._on_response(self._build(), False)

    def on_message_begin(self) -> None:
        """Start a response; called by the parser."""
        self._on_begin()
        self._clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, but no trailer; called by the parser."""
        if self._headers_complete:
            return
        if len(self._headers) == _MAX_HEADERS:
            raise InvalidResponseError(f'more than {_MAX_HEADERS} headers')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the end of the headers; called by the parser.

        :raises InvalidResponseError: if the status is not one of HTTP, which
            the HTTP server could not pass on, or the body cannot be decoded
            for certain.
        """
        status = self._parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            raise InvalidResponseError('the status is out of range')
        self._headers_complete = True
        codings = [
            value.lower()
            for name, value in self._headers
            if name == _TRANSFER_CODING
        ]
        if codings and codings != [_CHUNKED]:
            raise InvalidResponseError('the transfer coding is not chunked')
        if status not in _BODILESS:
            self._is_too_large = any(
                name == b'content-length' and int(text) > _MAX_EXCHANGE_BYTES
                for name, text in self._headers
            )

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        if self._body and len(self._body[-1]) < _PIECE_BYTES:
            self._body[-1] += body
        else:
            self._body.append(bytearray(body))
        self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """Deliver a complete response; called by the parser."""
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._on_response(self._build(), self._parser.should_keep_alive())

    def _parse(self, received: bytes) -> None:
        problem: str | None = None
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            # Its text is an offset; texts are labels of metrics.
            problem = 'it switches protocols'
        except httptools.HttpParserError as error:
            # Errors of the callbacks are the context of the parser's.
            problem = str(error.__context__ or error)
        if problem is not None:
            raise InvalidResponseError(f'not an answer: {problem}')
        if self._is_too_large:
            raise ResponseTooLargeError('the answer is too large')

    def _build(self) -> Response:
        body = b''.join(self._body)
        self._held_bytes -= len(body)
        response = Response(
            self._parser.get_status_code(),
            tuple(self._headers),
            body,
            self._budget.transfer(len(body)),
        )
        self._clear()
        return response

    def _clear(self) -> None:
        self._headers = []
        self._body = []
        self._headers_complete = False

    def _is_framed(self) -> bool:
        status = self._parser.get_status_code()
        # The end of the stream after an informational response ends nothing.
        if status < _FIRST_FINAL_STATUS or status in _BODILESS:
            return True
        return any(name in _FRAMING for name, _ in self._headers)
