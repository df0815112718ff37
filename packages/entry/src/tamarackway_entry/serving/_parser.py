"""Parser of requests that ignores offers to switch protocols."""

from typing import Protocol

import httptools


class HeadReceiver(Protocol):
    """Receives the events of the parser, and collects the current head."""

    url: bytes
    headers: list[tuple[bytes, bytes]]


class RequestParser:
    """Parses requests as if none offered to switch protocols.

    The parser of httptools takes such an offer as accepted: it skips the body
    of the request and the requests behind it. A server may ignore the offer
    (RFC 9110, section 7.8), so the head is parsed again without it.

    :param receiver: receives the events; those at the end of a head and of a
        message come twice for an offer, first while ``should_upgrade`` is true.
    """

    def __init__(self, receiver: HeadReceiver) -> None:
        """Start before the first request."""
        self._receiver = receiver
        self._parser = self._create()

    def feed_data(self, received: bytes) -> None:
        """Parse received bytes.

        :param received: the bytes.
        :raises httptools.HttpParserError: if they are no request.
        """
        while True:
            offset = self._feed(received)
            if offset is None:
                return
            head = self._encode_head()
            self._parser = self._create()
            if self._feed(head) is not None:
                raise httptools.HttpParserError('the method is CONNECT')
            received = received[offset:]

    def should_upgrade(self) -> bool:
        """Return whether the current head has such an offer."""
        return self._parser.should_upgrade()

    def should_keep_alive(self) -> bool:
        """Return whether the client keeps the connection open."""
        return self._parser.should_keep_alive()

    def get_method(self) -> bytes:
        """Return the method of the current request."""
        return self._parser.get_method()

    def get_http_version(self) -> str:
        """Return the version of the current request."""
        return self._parser.get_http_version()

    def _feed(self, received: bytes) -> int | None:
        """Parse bytes; return where an offer has stopped the parser."""
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as offer:
            offset: int = offer.args[0]
            return offset
        return None

    def _encode_head(self) -> bytes:
        """Return the current head without its offer."""
        version = self.get_http_version().encode()
        start = b'%s %s HTTP/%s' % (
            self.get_method(),
            self._receiver.url,
            version,
        )
        headers = [
            b'%s: %s' % header
            for header in self._receiver.headers
            if header[0] != b'upgrade'
        ]
        return b'\r\n'.join((start, *headers, b'', b''))

    def _create(self) -> httptools.HttpRequestParser:
        parser = httptools.HttpRequestParser(self._receiver)
        # Bytes behind a request that ends its connection are ignored.
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
        return parser
