"""Deletes claims whose keys have expired."""

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
_RETENTION_MARGIN_S: Final = 172_800.0
_BATCH_SIZE: Final = 200
_log = component_logger('once')


class SweepService:
    """Deletes expired claims, on one elected instance.

    :param table: the table service.
    :param peers: the other entry instances.
    :param instance: name of this instance.
    :param clock: clocks of the daemon.

    Claims are kept for two days after their keys expire. An instance whose
    clock is behind by less than that cannot accept a key whose claim has
    been deleted.
    """

    def __init__(
        self,
        table: TableService,
        peers: PeerService,
        instance: str,
        clock: Clock,
    ) -> None:
        """Store the dependencies."""
        self._table = table
        self._peers = peers
        self._instance = instance
        self._clock = clock

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await anyio.sleep(_INTERVAL_S)
            names = [member.instance.name for member in self._peers.list_live()]
            names.append(self._instance)
            if elect(names, 'sweep') == self._instance:
                await self._sweep_if_available()

    async def sweep(self) -> int:
        """Delete a batch of expired claims and return the size of the batch.

        :raises StoreUnavailableError: if the table does not answer.
        :raises StoreInDoubtError: if it is unknown whether they were deleted.
        """
        cutoff_s = self._clock.time_s() - KEY_LIFETIME_S - _RETENTION_MARGIN_S
        cutoff_key = f'{KEY_PREFIX}{claim_day(cutoff_s)}'
        # keys start with the date of the idempotency key: oldest first
        rows = await self._table.scan(KEY_PREFIX, _BATCH_SIZE)
        operations = [
            Operation(key, None, row.revision)
            for key, row in rows.items()
            if key < cutoff_key
        ]
        if operations:
            await self._table.transact(operations)
        return len(operations)

    async def _sweep_if_available(self) -> None:
        try:
            deleted = await self.sweep()
        except (StoreUnavailableError, StoreInDoubtError):
            return
        if deleted:
            _log.info('Deleted %d expired claims.', deleted)
