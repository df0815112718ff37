"""Sends requests to targets and checks that answers are their own."""

from typing import Final

import anyio
from tamarackway_core.places import Target, parse_address

from tamarackway_entry.http import (
    ConnectionPool,
    HttpError,
    HttpRequest,
    HttpResponse,
    InvalidResponseError,
)
from tamarackway_entry.targets._directory import TargetDirectory

_UNAVAILABLE: Final = 503
_REACH_TIMEOUT_S: Final = 1.0
_ID_HEADER: Final = 'x-request-id'
_OUTCOME_HEADER: Final = 'x-outcome'
_STATE_HEADER: Final = 'x-target-state'


class ShedError(HttpError):
    """The target refused the request and did not run it."""


class Dispatcher:
    """Holds a pool of connections for each target.

    :param directory: learns of targets that are leaving.
    :param outgoing_host: IP number that connections come from.
    :param max_answer_bytes: largest body of an answer.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        outgoing_host: str,
        max_answer_bytes: int,
    ) -> None:
        """Start without connections."""
        self._directory = directory
        self._outgoing_host = outgoing_host
        self._max_answer_bytes = max_answer_bytes
        self._pools: dict[str, ConnectionPool] = {}

    async def send(
        self,
        target: Target,
        request: HttpRequest,
        *,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request to a target and return its whole answer.

        :param target: the target.
        :param request: the request, with an ``x-request-id`` header.
        :param fresh: open a new connection.
        :raises ShedError: if the target refused to run the request.
        :raises HttpError: as :meth:`ConnectionPool.send` does.
        """
        pool = self._find_pool(target.address)
        try:
            answer = await pool.send(request, fresh=fresh)
        except HttpError:
            await pool.close_idle()
            raise
        if answer.headers.get(_ID_HEADER) != request.headers[_ID_HEADER]:
            await pool.close_idle()
            raise InvalidResponseError(
                f'{target.name} answered another request'
            )
        if answer.headers.get(_STATE_HEADER) == 'leaving':
            self._directory.mark_leaving(target)
        was_shed = answer.headers.get(_OUTCOME_HEADER) == 'not-run'
        if answer.status == _UNAVAILABLE and was_shed:
            raise ShedError(f'{target.name} shed the request')
        return answer

    async def is_reachable(self, target: Target) -> bool:
        """Return whether a target answers on a new connection."""
        try:
            await self.fetch_health(target, _REACH_TIMEOUT_S)
        except HttpError:
            return False
        return True

    async def fetch_health(self, target: Target, timeout_s: float) -> bytes:
        """Return what the health endpoint of a target answers.

        :param target: the target.
        :param timeout_s: longest wait for the answer in seconds.
        :raises HttpError: as :meth:`ConnectionPool.send` does.
        """
        pool = self._find_pool(target.address)
        request = HttpRequest('GET', '/health', {}, b'', timeout_s)
        return (await pool.send(request, fresh=True)).body

    async def retire_idle(self, target: Target) -> None:
        """Close the idle connections to a target, one of which is silent."""
        with anyio.CancelScope(shield=True):
            await self._find_pool(target.address).close_idle()

    def _find_pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                parse_address(address),
                self._outgoing_host,
                self._max_answer_bytes,
            )
            self._pools[address] = pool
        return pool
