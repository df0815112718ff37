"""Reads the answers on one connection."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import httptools

from tamarackway_entry.upstream._errors import InvalidResponseError

_MAX_ANSWER_BYTES: Final = 8_388_608
_FIRST_FINAL_STATUS: Final = 200
_FRAMING: Final = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS: Final = frozenset((204, 304))
_NO_ANSWER: Final = (httptools.HttpParserError, httptools.HttpParserUpgrade)


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    :param status: HTTP status.
    :param headers: names in lower case, with their values.
    :param body: all bytes of the body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def find(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None.

        :param name: its name in lower case.
        """
        for known, content in self.headers:
            if known == name:
                return content
        return None


class ResponseReader:
    """Parses what a server sends.

    :param begin: called when an answer begins.
    :param finish: called with each whole answer, and whether the server keeps
        the connection open.
    """

    def __init__(
        self,
        begin: Callable[[], None],
        finish: Callable[[Response, bool], None],
    ) -> None:
        """Start before the first answer."""
        self._begin = begin
        self._finish = finish
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_done = False

    def feed(self, received: bytes) -> None:
        """Parse bytes.

        :param received: what came on the connection.
        :raises InvalidResponseError: if it is no answer, or too long.
        """
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise InvalidResponseError(f'not an answer: {error}') from error
        if len(self._body) > _MAX_ANSWER_BYTES:
            raise InvalidResponseError('the answer is too long')

    def end_cleanly(self) -> None:
        """Take the end of the stream, which ends a body without a length."""
        if self._head_done and not self._is_framed():
            self._finish(self._build(), False)

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        self._begin()
        self._headers = []
        self._body = bytearray()
        self._head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """End the head; called by the parser."""
        self._head_done = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self._body += body

    def on_message_complete(self) -> None:
        """End an answer; called by the parser."""
        if self._parser.get_status_code() >= _FIRST_FINAL_STATUS:
            self._finish(self._build(), self._parser.should_keep_alive())

    def _build(self) -> Response:
        status = self._parser.get_status_code()
        return Response(status, tuple(self._headers), bytes(self._body))

    def _is_framed(self) -> bool:
        if self._parser.get_status_code() in _BODILESS:
            return True
        return any(name in _FRAMING for name, _ in self._headers)
