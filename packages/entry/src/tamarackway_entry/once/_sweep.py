"""Removes claims whose keys are too old to be used again."""

from typing import Final

import anyio
from tamarackway_core.membership import elect
from tamarackway_core.once import KEY_LIFETIME_S, claim_day

from tamarackway_entry.kernel import Clock
from tamarackway_entry.once._rows import KEY_PREFIX
from tamarackway_entry.peers import PeerService
from tamarackway_entry.platform import (
    Operation,
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)
from tamarackway_entry.telemetry import component_logger

_INTERVAL_S: Final = 60.0
_SPARE_S: Final = 172_800.0
_BATCH: Final = 200
_log = component_logger('once')


class SweepService:
    """Deletes the oldest claims, on one instance at a time.

    :param table: the table service.
    :param peers: the other entry instances.
    :param instance: name of this instance.
    :param clock: clocks of the daemon.

    Claims are kept two days longer than their keys are accepted, so clocks
    that differ by less cannot bring a removed key back into use.
    """

    def __init__(
        self,
        table: TableService,
        peers: PeerService,
        instance: str,
        clock: Clock,
    ) -> None:
        """Remember the table."""
        self._table = table
        self._peers = peers
        self._instance = instance
        self._clock = clock

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(_INTERVAL_S)
            names = [member.instance.name for member in self._peers.list_live()]
            names.append(self._instance)
            if elect(names, 'sweep') == self._instance:
                await self._sweep_safely()

    async def sweep(self) -> int:
        """Delete one batch of old claims and return how many they were.

        :raises StoreUnavailableError: if the table does not answer.
        :raises StoreInDoubtError: if the answer was lost.
        """
        oldest = self._clock.time_s() - KEY_LIFETIME_S - _SPARE_S
        limit = f'{KEY_PREFIX}{claim_day(oldest)}'
        rows = await self._table.scan(KEY_PREFIX, _BATCH)
        operations = [
            Operation(key, None, row.revision)
            for key, row in rows.items()
            if key < limit
        ]
        if operations:
            await self._table.transact(operations)
        return len(operations)

    async def _sweep_safely(self) -> None:
        try:
            removed = await self.sweep()
        except (StoreUnavailableError, StoreInDoubtError):
            return
        if removed:
            _log.info('Removed %d old claims.', removed)
