"""Lookup of routes by host and path prefix."""

from collections.abc import Iterable

from tamarackway_core.steering._model import Route


class RouteTable:
    """Routes grouped by host, the longest prefix first.

    :param routes: all routes of a configuration.

    Lookup takes time linear in the number of routes of the host.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Group the routes by host."""
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, or None.

        :param host: host name, with or without a port.
        :param path: path without the query.

        >>> route = Route('r', 'a.example', '/x/', (), idempotent=True)
        >>> RouteTable([route]).find('A.example:80', '/x/y') is route
        True
        """
        hostname = host.partition(':')[0].lower()
        for route in self._by_host.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
