"""Parser for the responses on one connection."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import httptools

from tamarackway_entry.upstream._budget import ReceiveBudget
from tamarackway_entry.upstream._errors import InvalidResponseError

# Of everything around bodies: heads, chunk sizes and trailers, also of
# informational responses. Counted from the last byte of a body.
_MAX_FRAMING_BYTES: Final = 65_536
_MAX_HEADERS: Final = 256  # each takes some 150 bytes besides its content
# Of all responses in an exchange, informational and skipped ones included.
_MAX_EXCHANGE_BYTES: Final = 8 * 1024 * 1024 + _MAX_FRAMING_BYTES
# Less than a third of the memory of the smallest instance.
_BUDGET: Final = ReceiveBudget(8 * _MAX_EXCHANGE_BYTES)
_FIRST_STATUS: Final = 100
_LAST_STATUS: Final = 599
_FIRST_FINAL_STATUS: Final = 200
_FRAMING: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS: Final = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    :param status: HTTP status.
    :param headers: names in lower case and values.
    :param body: all bytes of the body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

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
    """

    def __init__(
        self,
        on_begin: Callable[[], None],
        on_response: Callable[[Response, bool], None],
    ) -> None:
        """Initialize before the first response."""
        self._on_begin = on_begin
        self._on_response = on_response
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._headers_complete = False
        self._framing_bytes = 0
        self._exchange_bytes = 0

    def end_exchange(self) -> None:
        """Stop counting the bytes received for the current request."""
        _BUDGET.release(self._exchange_bytes)
        self._exchange_bytes = 0
        self._framing_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse received bytes.

        :param received: bytes received on the connection.
        :raises InvalidResponseError: if the response is invalid or too large.
        """
        self._exchange_bytes += len(received)
        self._framing_bytes += len(received)
        fits = _BUDGET.add(len(received), self._exchange_bytes)
        if not fits or self._exchange_bytes > _MAX_EXCHANGE_BYTES:
            raise InvalidResponseError('the answer is too long')
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # Errors of the callbacks below are the context of the parser's.
            problem = error.__context__ or error
            raise InvalidResponseError(f'not an answer: {problem}') from error
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
        self._headers = []
        self._body = bytearray()
        self._headers_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, but no trailer; called by the parser."""
        if self._headers_complete:
            return
        if len(self._headers) == _MAX_HEADERS:
            raise InvalidResponseError(f'more than {_MAX_HEADERS} headers')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Record the end of the headers; called by the parser.

        :raises InvalidResponseError: if the status is not one of HTTP, which
            the HTTP server could not pass on.
        """
        status = self._parser.get_status_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            raise InvalidResponseError('the status is out of range')
        self._headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self._body += body
        self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """Deliver a complete response; called by the parser."""
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._on_response(self._build(), self._parser.should_keep_alive())

    def _build(self) -> Response:
        status = self._parser.get_status_code()
        return Response(status, tuple(self._headers), bytes(self._body))

    def _is_framed(self) -> bool:
        if self._parser.get_status_code() in _BODILESS:
            return True
        return any(name in _FRAMING for name, _ in self._headers)
