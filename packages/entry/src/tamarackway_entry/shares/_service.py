"""Leases shares of regional caps and admits requests within them."""

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

_RENEWAL_INTERVAL_S: Final = 3.0
_CHECK_INTERVAL_S: Final = 0.5
_KEY_PREFIX: Final = 'shares/'


class _Cap:
    """A capacity row and the share of its cap that this instance holds."""

    def __init__(self, row: PlanRow, share: LeasedShare, now_s: float) -> None:
        self.row = row
        self.share = share
        self.renew_s = now_s
        self.bucket = TokenBucket(share.share_per_s(now_s), now_s)

    @property
    def key(self) -> str:
        """Key of the table row that holds the leases."""
        return f'{_KEY_PREFIX}{self.row.region}/{self.row.service}'

    def update_bucket(self, now_s: float) -> None:
        """Set the rate of the bucket to the share currently in force."""
        self.bucket.set_share(self.share.share_per_s(now_s), now_s)


class ShareService:
    """Admits requests to regions under the caps of the plan.

    :param current: the plan in force.
    :param table: the table service.
    :param holder: name and incarnation of this instance.
    :param max_instances: maximum number of concurrent entry instances.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.

    While the table is unavailable, each instance falls back to a fixed floor.
    The sum of all floors and leases never exceeds the cap.
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
                    cap.renew_s = self._clock.now_s() + _RENEWAL_INTERVAL_S
                    await self._renew(cap)
                self._update_metric(cap)
            await anyio.sleep(_CHECK_INTERVAL_S)

    def admit(self, region: str, service: str) -> PlanRow | None:
        """Take a token for a request from the caps of a region.

        :param region: region that would serve the request.
        :param service: service of the request.
        :returns: None if the request is admitted, else the exhausted row.
        """
        self._update_caps()
        now_s = self._clock.now_s()
        caps = [
            self._caps[key]
            for key in ((region, service), (region, ''))
            if key in self._caps
        ]
        for cap in caps:
            cap.share.count()
            cap.update_bucket(now_s)
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
                key = (row.region, row.service)
                existing = self._caps.get(key)
                caps[key] = self._create_or_update_cap(existing, row, now_s)
        self._caps = caps

    def _create_or_update_cap(
        self,
        existing: _Cap | None,
        row: PlanRow,
        now_s: float,
    ) -> _Cap:
        floor_per_s = floor_share(row.amount, self._max_instances)
        if existing is None:
            share = LeasedShare(
                self._holder,
                row.amount,
                floor_per_s,
                now_s,
            )
            return _Cap(row, share, now_s)
        existing.row = row
        existing.share.change_cap(row.amount, floor_per_s)
        existing.renew_s = now_s
        existing.update_bucket(now_s)
        return existing

    async def _renew(self, cap: _Cap) -> None:
        requested_s = self._clock.now_s()
        try:
            confirmed = await self._write_lease(cap)
        except (StoreUnavailableError, StoreInDoubtError):
            return
        if confirmed:
            cap.share.confirm(requested_s)

    async def _write_lease(self, cap: _Cap) -> bool:
        row = (await self._table.read([cap.key]))[0]
        history = self._table.history
        leases = msgspec.convert(row.value or {}, LeaseTable)
        now_s = self._clock.now_s()
        proposed = cap.share.propose(leases, now_s, history)
        cap.update_bucket(now_s)
        write = Operation(cap.key, asdict(proposed), row.revision, history)
        committed = await self._table.transact([write])
        return isinstance(committed, Committed)

    def _update_metric(self, cap: _Cap) -> None:
        gauge = self._metrics.shares.labels(cap.row.region, cap.row.service)
        gauge.set(cap.bucket.share_per_s)
