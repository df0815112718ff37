"""Lookup of routes by host and path prefix."""

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from tamarackway_core.steering._model import Route

_ESCAPE: Final = re.compile(rb'%([0-9A-Fa-f]{2})')
# What a path must not hold unescaped, such as spaces and letters with accents.
_ILLEGAL: Final = re.compile(rb"[^!#$%&'()*+,\-./0-9:;=?@A-Z\[\]_a-z~]")
_UNRESERVED: Final = re.compile(rb'[-.0-9A-Z_a-z~]')


class _Entry(NamedTuple):
    prefix: str  # normalized
    route: Route


class RouteTable:
    """Routes grouped by host, the longest prefix first.

    :param routes: all routes of a configuration.

    Lookup takes time linear in the number of routes of the host.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Group the routes by host."""
        self._by_host: dict[str, list[_Entry]] = {}
        for route in routes:
            entry = _Entry(normalize_path(route.prefix), route)
            self._by_host.setdefault(route.host.lower(), []).append(entry)
        for host_routes in self._by_host.values():
            host_routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, or None.

        :param host: host name, with or without a port.
        :param path: path without the query, as the caller encoded it.

        >>> route = Route('r', 'a.example', '/x/', (), idempotent=True)
        >>> RouteTable([route]).find('A.example:80', '/x/y') is route
        True
        """
        hostname = host.partition(':')[0].lower()
        normalized = normalize_path(path)
        for entry in self._by_host.get(hostname, ()):
            if normalized.startswith(entry.prefix):
                return entry.route
        return None


def normalize_path(path: str) -> str:
    """Return a path in the one encoding in which paths are compared.

    Escapes are decoded only where that cannot change the meaning of the path
    (RFC 3986, section 6.2.2): an encoded slash separates no segments.

    :param path: path; bytes that are no UTF-8 as surrogates.

    >>> normalize_path('/%6frders/%2f17/\u00f3')
    '/orders/%2F17/%C3%B3'
    """
    octets = path.encode('utf-8', 'surrogateescape')
    escaped = _ILLEGAL.sub(_escape, _ESCAPE.sub(_normalize_escape, octets))
    return escaped.decode('ascii')


def _normalize_escape(match: re.Match[bytes]) -> bytes:
    octet = bytes.fromhex(match[1].decode('ascii'))
    return octet if _UNRESERVED.match(octet) else match[0].upper()


def _escape(match: re.Match[bytes]) -> bytes:
    return b'%%%02X' % match[0][0]


def _prefix_length(entry: _Entry) -> int:
    return len(entry.prefix)
