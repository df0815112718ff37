"""Sends requests to targets and matches the responses to them."""

from typing import Final

import anyio
from tamarackway_core.places import Target, parse_address

from tamarackway_entry.http import (
    ConnectionPool,
    HttpError,
    HttpRequest,
    HttpResponse,
    InvalidResponseError,
    WithdrawnError,
)
from tamarackway_entry.targets._directory import TargetDirectory

_UNAVAILABLE: Final = 503
_REACHABILITY_TIMEOUT_S: Final = 1.0
_ID_HEADER: Final = 'x-request-id'
_OUTCOME_HEADER: Final = 'x-outcome'
_STATE_HEADER: Final = 'x-target-state'


class ShedError(HttpError):
    """The target rejected the request without running it."""


class Dispatcher:
    """Sends requests over one connection pool for each target.

    :param directory: records targets that report that they are leaving.
    :param outgoing_host: source IP address of connections.
    :param max_response_bytes: largest body of a response in bytes.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        outgoing_host: str,
        max_response_bytes: int,
    ) -> None:
        """Start without connections."""
        self._directory = directory
        self._outgoing_host = outgoing_host
        self._max_response_bytes = max_response_bytes
        self._pools: dict[str, ConnectionPool] = {}

    async def send(
        self,
        target: Target,
        request: HttpRequest,
        *,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request to a target and return the complete response.

        :param target: the target.
        :param request: the request, with an ``x-request-id`` header.
        :param fresh: use a new connection.
        :raises ShedError: if the target rejected the request.
        :raises HttpError: as :meth:`ConnectionPool.send` does.
        """
        pool = self._find_pool(target.address)
        try:
            response = await pool.send(request, fresh=fresh)
        except WithdrawnError:
            raise
        except HttpError:
            await pool.close_idle()
            raise
        if response.headers.get(_ID_HEADER) != request.headers[_ID_HEADER]:
            await pool.close_idle()
            raise InvalidResponseError(
                f'{target.name} sent the response to another request'
            )
        if response.headers.get(_STATE_HEADER) == 'leaving':
            self._directory.mark_leaving(target)
        was_shed = response.headers.get(_OUTCOME_HEADER) == 'not-run'
        if response.status == _UNAVAILABLE and was_shed:
            raise ShedError(f'{target.name} shed the request')
        return response

    async def is_reachable(self, target: Target) -> bool:
        """Return whether a target responds on a new connection."""
        try:
            await self.fetch_health(target, _REACHABILITY_TIMEOUT_S)
        except HttpError:
            return False
        return True

    async def fetch_health(self, target: Target, timeout_s: float) -> bytes:
        """Return the response body of the health endpoint of a target.

        :param target: the target.
        :param timeout_s: longest wait for the response in seconds.
        :raises HttpError: as :meth:`ConnectionPool.send` does.
        """
        pool = self._find_pool(target.address)
        request = HttpRequest('GET', '/health', {}, b'', timeout_s)
        return (await pool.send(request, fresh=True)).body

    async def close_idle_connections(self, target: Target) -> None:
        """Close all idle connections to a target, after one has stalled."""
        with anyio.CancelScope(shield=True):
            await self._find_pool(target.address).close_idle()

    def _find_pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                parse_address(address),
                self._outgoing_host,
                self._max_response_bytes,
            )
            self._pools[address] = pool
        return pool
