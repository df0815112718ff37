"""Leases shares of the capacity rows and admits requests under them."""

from dataclasses import asdict
from typing import Final

import anyio
import msgspec
from tamarackway_core.limits import (
    LeasedShare,
    LeaseTable,
    TokenBucket,
    floor_share,
)
from tamarackway_core.sheet import PlanRow, RowKind

from tamarackway_entry.kernel import Clock
from tamarackway_entry.plans import CurrentPlan
from tamarackway_entry.platform import (
    Committed,
    Operation,
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)
from tamarackway_entry.telemetry import Metrics

_RENEW_S: Final = 3.0
_TICK_S: Final = 0.5
_KEY_PREFIX: Final = 'shares/'


class _Cap:
    """One capacity row, with the share of it that this instance has."""

    def __init__(self, row: PlanRow, holder: LeasedShare, now_s: float) -> None:
        self.row = row
        self.holder = holder
        self.renew_s = now_s
        self.bucket = TokenBucket(holder.share_per_s(now_s), now_s)

    @property
    def key(self) -> str:
        """Key of the row of the table that holds the leases."""
        return f'{_KEY_PREFIX}{self.row.region}/{self.row.service}'

    def apply(self, now_s: float) -> None:
        """Set the bucket to the share that holds now."""
        self.bucket.set_share(self.holder.share_per_s(now_s), now_s)


class ShareService:
    """Admits requests to regions under the caps of the plan.

    :param current: the plan in force.
    :param table: the table service.
    :param holder: name and incarnation of this instance.
    :param max_instances: most entry instances that run at once.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.

    Without the table, each instance keeps a fixed floor. Floors and leases
    together never exceed the cap.
    """

    def __init__(
        self,
        current: CurrentPlan,
        table: TableService,
        holder: str,
        max_instances: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start without caps."""
        self._current = current
        self._table = table
        self._holder = holder
        self._max_instances = max_instances
        self._clock = clock
        self._metrics = metrics
        self._caps: dict[tuple[str, str], _Cap] = {}
        self._version = 0

    async def run(self) -> None:
        """Renew leases until cancelled."""
        while True:
            self._update_caps()
            for cap in list(self._caps.values()):
                if self._clock.now_s() >= cap.renew_s:
                    cap.renew_s = self._clock.now_s() + _RENEW_S
                    await self._renew(cap)
                self._report(cap)
            await anyio.sleep(_TICK_S)

    def admit(self, region: str, service: str) -> PlanRow | None:
        """Count a request under the caps of a region.

        :param region: region that would serve the request.
        :param service: service of the request.
        :returns: None if it is admitted, or the row whose cap is reached.
        """
        self._update_caps()
        now_s = self._clock.now_s()
        caps = [
            self._caps[subject]
            for subject in ((region, service), (region, ''))
            if subject in self._caps
        ]
        for cap in caps:
            cap.holder.count()
            cap.apply(now_s)
            if not cap.bucket.take(now_s):
                return cap.row
        return None

    def _update_caps(self) -> None:
        rules = self._current.rules
        if rules is None or self._version == self._current.version:
            return
        self._version = self._current.version
        now_s = self._clock.now_s()
        caps: dict[tuple[str, str], _Cap] = {}
        for row in rules.plan.rows:
            if row.kind == RowKind.CAPACITY:
                subject = (row.region, row.service)
                known = self._caps.get(subject)
                caps[subject] = self._adjust(known, row, now_s)
        self._caps = caps

    def _adjust(self, known: _Cap | None, row: PlanRow, now_s: float) -> _Cap:
        floor_per_s = floor_share(row.amount, self._max_instances)
        if known is None:
            holder = LeasedShare(
                self._holder,
                row.amount,
                floor_per_s,
                now_s,
            )
            return _Cap(row, holder, now_s)
        known.row = row
        known.holder.change_cap(row.amount, floor_per_s)
        known.renew_s = now_s
        known.apply(now_s)
        return known

    async def _renew(self, cap: _Cap) -> None:
        asked_s = self._clock.now_s()
        try:
            confirmed = await self._lease(cap)
        except (StoreUnavailableError, StoreInDoubtError):
            return
        if confirmed:
            cap.holder.confirm(asked_s)

    async def _lease(self, cap: _Cap) -> bool:
        row = (await self._table.read([cap.key]))[0]
        leases = msgspec.convert(row.value or {}, LeaseTable)
        now_s = self._clock.now_s()
        proposed = cap.holder.propose(leases, now_s)
        cap.apply(now_s)
        write = Operation(cap.key, asdict(proposed), row.revision)
        committed = await self._table.transact([write])
        return isinstance(committed, Committed)

    def _report(self, cap: _Cap) -> None:
        gauge = self._metrics.shares.labels(cap.row.region, cap.row.service)
        gauge.set(cap.bucket.share_per_s)
