"""Client of the platform's instance list, which may be out of date."""

import json
from typing import Final

import anyio
import msgspec
from tamarackway_core.places import Inventory

from tamarackway_entry.http import (
    ConnectionPool,
    HttpError,
    HttpRequest,
    HttpResponse,
)
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import Metrics, component_logger

_INTERVAL_S: Final = 0.5
_OK: Final = 200
_log = component_logger('inventory')


class InventoryService:
    """Polls the instance list and keeps the last one read.

    :param pool: connections to the instance list.
    :param timeout_s: request timeout in seconds.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.

    While the list cannot be read, the last one stays in use; a metric
    exposes its age.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        timeout_s: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start with an empty list."""
        self.inventory = Inventory()
        self._pool = pool
        self._timeout_s = timeout_s
        self._clock = clock
        self._metrics = metrics
        self._loaded_at_s = clock.now_s()
        self._is_failing = False
        self.is_loaded = False

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.refresh()
            age_s = self._clock.now_s() - self._loaded_at_s
            self._metrics.inventory_age_s.set(age_s)
            await anyio.sleep(_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the list once; on failure keep the last one."""
        request = HttpRequest(
            'GET',
            '/v1/instances',
            {},
            b'',
            self._timeout_s,
        )
        try:
            response = await self._pool.send(request)
            self.inventory = _parse(response)
        except (HttpError, ValueError) as error:
            if not self._is_failing:
                _log.warning('The instance list cannot be read: %s.', error)
            self._is_failing = True
            return
        self._loaded_at_s = self._clock.now_s()
        self._is_failing = False
        self.is_loaded = True


def _parse(response: HttpResponse) -> Inventory:
    if response.status != _OK:
        raise ValueError(
            f'the instance list answered with status {response.status}'
        )
    return msgspec.convert(json.loads(response.body), Inventory)
