"""Selection of the target with the lowest expected response time."""

import itertools
import math
import operator
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from tamarackway_core.limits import (
    ReturnSchedule,
    TargetPauses,
    TargetRateLimiter,
)
from tamarackway_core.steering._catalogue import Catalogue
from tamarackway_core.steering._cold_start import ColdStartLimiter
from tamarackway_core.steering._demand import DemandTracker
from tamarackway_core.steering._model import ServicePolicy, TargetRecord
from tamarackway_core.steering._ranking import select_region
from tamarackway_core.steering._regions import limit_shift, split_demand
from tamarackway_core.steering._run_times import RunTimeEstimator
from tamarackway_core.steering._target_stats import (
    TargetStats,
    TargetStatsRegistry,
)

_MAX_CANDIDATES: Final = 3  # more would evict other keys from caches
_SPLIT_TTL_S: Final = 0.5
# Fraction of max_shift_per_s. The rest is left for requests that are sent to
# another region than the preferred one because of their cost.
_SHIFT_FRACTION: Final = 0.5
_OTHER_REGION_COST_S: Final = 0.03  # keeps keys in their region
_RANK_COST_S: Final = (
    0.01  # keeps keys on their first target if costs are similar
)
# Run times lost per queued or running request and slot, since other instances
# have sent requests that the target has not reported yet.
_UNREPORTED_LOAD_FACTOR: Final = 0.35
_SHED_COST_S: Final = 0.5  # if the target sheds all requests
_COLD_COST_FACTOR: Final = 2.0
_INITIAL_ROUND_TRIP_S: Final = 0.03  # for regions not yet measured
_ROUND_TRIP_GAIN: Final = 0.2


@dataclass(frozen=True, slots=True)
class TargetQuery:
    """Requirements of a request on its target.

    :param service: service that runs the request.
    :param affinity_key: key whose state targets may have cached, or an empty
        string.
    :param home_regions: regions that are allowed; empty for all.
    :param spread_key: distributes requests without an affinity key among the
        regions.
    """

    service: str
    affinity_key: str = ''
    home_regions: tuple[str, ...] = ()
    spread_key: str = ''


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that can serve a request, with the inputs of its cost.

    :param record: the target.
    :param stats: statistics of the target.
    :param cost_s: expected response time, with penalties.
    :param warm: whether it has probably cached the affinity key.
    :param cold: whether it was started or returned recently; unrelated to
        ``warm``.
    :param load: estimated number of its running and queued requests.
    :param rank: its position in the preference order of the key.
    """

    record: TargetRecord
    stats: TargetStats
    cost_s: float
    warm: bool
    cold: bool
    load: float
    rank: int


@dataclass(frozen=True, slots=True)
class _RegionSplit:
    updated_at_s: float
    shares: Mapping[str, float]


class TargetSelector:
    """Selects targets by their expected response time.

    :param region: region of this instance.
    :param catalogue: the targets.
    :param stats: statistics of the targets.
    :param run_times: estimated run times of requests.
    :param demand: request rates by region.

    The owner sets three attributes: ``instances`` is the number of entry
    instances that may be running, or 0 while it is not known; ``position`` is
    the position of this instance among them, from 0; ``max_shift_per_s`` is
    the largest fraction of a region's requests that may move to other regions
    within a second.

    Each affinity key has a preferred region, according to the demand and
    capacity of all regions, and a preference order of targets that starts in
    it. The first target is assumed to have cached the key unless it is cold,
    since all instances send the key there. Only the first few targets are
    considered: under load, keys that are spread over all targets are cached
    by none of them, and requests with uncached keys run longest.
    """

    def __init__(
        self,
        region: str,
        catalogue: Catalogue,
        stats: TargetStatsRegistry,
        run_times: RunTimeEstimator,
        demand: DemandTracker,
    ) -> None:
        """Start with a round trip to the own region only."""
        self.cold_start_limiter = ColdStartLimiter()
        self.rate_limiter = TargetRateLimiter()
        self.pauses = TargetPauses()
        self._returns = ReturnSchedule()
        self.instances = 1
        self.position = 0
        self.max_shift_per_s: float = 1
        self._region = region
        self._catalogue = catalogue
        self._stats = stats
        self._run_times = run_times
        self._demand = demand
        self._round_trips_s: dict[str, float] = {region: 0.001}
        self._region_splits: dict[
            tuple[str, tuple[str, ...]], _RegionSplit
        ] = {}

    def observe_round_trip(self, region: str, round_trip_s: float) -> None:
        """Update the round trip to a region with the time of a TCP connect.

        :param region: the region.
        :param round_trip_s: time until the connection was open.
        """
        current_s = self._round_trips_s.get(region, round_trip_s)
        change_s = round_trip_s - current_s
        # Queueing only lengthens samples, so a shorter one counts in full.
        gain = 1 if change_s < 0 else _ROUND_TRIP_GAIN
        self._round_trips_s[region] = current_s + gain * change_s

    def round_trip_s(self, region: str) -> float:
        """Return the estimated round trip to a region in seconds."""
        return self._round_trips_s.get(region, _INITIAL_ROUND_TRIP_S)

    def select(
        self,
        query: TargetQuery,
        policy: ServicePolicy,
        tried: Collection[str],
        now_s: float,
    ) -> Candidate | None:
        """Return the candidate with the lowest cost, or None if there is none.

        :param query: requirements of the request.
        :param policy: policy of the service.
        :param tried: names of targets that are excluded.
        :param now_s: monotonic time in seconds.
        """
        evaluated = self._evaluate_all(query, policy, tried, now_s)
        depth = (
            _MAX_CANDIDATES
            if query.affinity_key
            else len(self._catalogue.list_usable(query.service).targets)
        )
        return min(
            _take_candidates(evaluated, depth),
            key=operator.attrgetter('cost_s'),
            default=None,
        )

    def misses_targets(self, query: TargetQuery, now_s: float) -> bool:
        """Return whether a target of a request is ejected as unreachable.

        :param query: requirements of the request.
        :param now_s: monotonic time in seconds.
        """
        return any(
            self._stats.find(
                record.name, record.incarnation, now_s
            ).is_unreachable(now_s)
            for record in _list_allowed(self._catalogue, query)
        )

    def has_paused_targets(self, query: TargetQuery, now_s: float) -> bool:
        """Return whether a target of a request wants none for some time.

        :param query: requirements of the request.
        :param now_s: monotonic time in seconds.
        """
        return any(
            self.pauses.is_paused(record.name, record.incarnation, now_s)
            for record in _list_allowed(self._catalogue, query)
        )

    def return_delay_s(self, query: TargetQuery, now_s: float) -> float | None:
        """Return after how many seconds a refused caller should return.

        Returns None if no target is at its rate limit or all targets wait for
        requests until a time that they named.

        :param query: requirements of the refused request.
        :param now_s: monotonic time in seconds.
        """
        limiter = self.rate_limiter
        targets = [
            (record.name, record.incarnation)
            for record in _list_allowed(self._catalogue, query)
        ]
        pause_s = min(
            (self.pauses.wait_s(*target, now_s) for target in targets),
            default=0,
        )
        limited = [
            target
            for target in targets
            if math.isfinite(limiter.total_per_s(*target))
        ]
        if limited:
            wait_s = min(limiter.wait_s(*target, now_s) for target in limited)
            rate_per_s = sum(itertools.starmap(limiter.share_per_s, limited))
        elif pause_s > 0:
            wait_s = pause_s
            rate_per_s = self._pace_per_s(query)
        else:
            return None
        # Nobody should return before the first pause is over.
        delay_s = self._returns.next_delay_s(
            query.service,
            max(wait_s - pause_s, 0),
            rate_per_s,
            now_s + pause_s,
        )
        return pause_s + delay_s

    def record_send(self, chosen: Candidate, key: str, now_s: float) -> None:
        """Record that a request is sent to a target.

        :param chosen: the selected target.
        :param key: affinity key of the request, or an empty string.
        :param now_s: monotonic time in seconds.
        """
        if key:
            chosen.stats.record_key(key, now_s)
        record = chosen.record
        if chosen.cold:
            self.cold_start_limiter.record(record.name, now_s)
        self.rate_limiter.record(record.name, record.incarnation, now_s)
        self.pauses.record(record.name, record.incarnation, now_s)

    def _evaluate_all(
        self,
        query: TargetQuery,
        policy: ServicePolicy,
        tried: Collection[str],
        now_s: float,
    ) -> Iterator[Candidate | None]:
        """Yield the usable targets in the preference order of the key.

        Yields None for targets at their rate limit, and for those that want
        no requests for some time.
        """
        ranking = self._catalogue.list_usable(query.service)
        preferred = self._preferred_region(query, ranking.targets, now_s)
        for rank, record in enumerate(
            ranking.rank_for(query.affinity_key, preferred)
        ):
            if record.name in tried or not _is_allowed_region(record, query):
                continue
            if not self._is_open(record, now_s):
                yield None
                continue
            candidate = self._evaluate(
                record, query, policy, rank, preferred, now_s
            )
            if candidate is not None:
                yield candidate

    def _is_open(self, record: TargetRecord, now_s: float) -> bool:
        target = (record.name, record.incarnation)
        is_paused = self.pauses.wait_s(*target, now_s) > 0
        return not is_paused and self.rate_limiter.allows(*target, now_s)

    def _pace_per_s(self, query: TargetQuery) -> float:
        """Return the requests per second that this instance can expect to send.

        :param query: requirements of the requests.
        """
        slots = sum(
            record.slots for record in _list_allowed(self._catalogue, query)
        )
        run_s = self._run_times.cached_s(query.service)
        return slots / run_s / max(self.instances, 1)

    def _evaluate(
        self,
        record: TargetRecord,
        query: TargetQuery,
        policy: ServicePolicy,
        rank: int,
        preferred: str | None,
        now_s: float,
    ) -> Candidate | None:
        stats = self._stats.find(
            record.name,
            record.incarnation,
            now_s,
        )
        if stats.is_ejected(now_s):
            return None
        cold = self._catalogue.is_cold(record.name, now_s)
        if cold and not self._cold_limit_allows(record, policy, now_s):
            return None
        cached = stats.has_key(query.affinity_key, now_s)
        warm = bool(query.affinity_key) and (cached or (rank == 0 and not cold))
        load = stats.load(now_s)
        cost_s = self._expected_run_s(
            query.service, load, record.slots, warm=warm
        )
        cost_s *= stats.slowdown(now_s)
        cost_s *= _COLD_COST_FACTOR if cold else 1
        cost_s += self.round_trip_s(record.place.region)
        cost_s += stats.shed_rate * _SHED_COST_S
        if query.affinity_key:
            cost_s += min(rank, _MAX_CANDIDATES) * _RANK_COST_S
        if record.place.region != preferred:
            cost_s += _OTHER_REGION_COST_S
        return Candidate(record, stats, cost_s, warm, cold, load, rank)

    def _expected_run_s(
        self,
        service: str,
        load: float,
        slots: int,
        *,
        warm: bool,
    ) -> float:
        cached_s = self._run_times.cached_s(service)
        run_s = cached_s if warm else self._run_times.uncached_s(service)
        queued = max(load + 1 - slots, 0) / slots
        unreported_load = _UNREPORTED_LOAD_FACTOR * load / slots
        return run_s + cached_s * (queued + unreported_load)

    def _cold_limit_allows(
        self,
        record: TargetRecord,
        policy: ServicePolicy,
        now_s: float,
    ) -> bool:
        return self.cold_start_limiter.allows(
            record.name,
            policy.cold_per_s,
            self.instances,
            self.position,
            now_s,
        )

    def _preferred_region(
        self,
        query: TargetQuery,
        targets: tuple[TargetRecord, ...],
        now_s: float,
    ) -> str | None:
        split_key = (query.service, query.home_regions)
        split = self._region_splits.get(split_key)
        if split is None or now_s - split.updated_at_s > _SPLIT_TTL_S:
            split = self._update_split(split, query, targets, now_s)
            self._region_splits[split_key] = split
        return select_region(
            query.affinity_key or query.spread_key, split.shares
        )

    def _update_split(
        self,
        split: _RegionSplit | None,
        query: TargetQuery,
        targets: tuple[TargetRecord, ...],
        now_s: float,
    ) -> _RegionSplit:
        wanted = self._ideal_split(query, targets, now_s)
        if split is None or not split.shares:
            return _RegionSplit(now_s, wanted)
        max_shift = (
            (now_s - split.updated_at_s)
            * self.max_shift_per_s
            * _SHIFT_FRACTION
        )
        return _RegionSplit(now_s, limit_shift(split.shares, wanted, max_shift))

    def _ideal_split(
        self,
        query: TargetQuery,
        targets: tuple[TargetRecord, ...],
        now_s: float,
    ) -> Mapping[str, float]:
        slots: dict[str, float] = {}
        run_s = self._run_times.cached_s(query.service)
        for record in targets:
            if _is_allowed_region(record, query):
                region = record.place.region
                usable = self._usable_slots(record, run_s)
                slots[region] = slots.get(region, 0) + usable
        rates = self._demand.by_region(query.service, now_s)
        busy = {region: rate * run_s for region, rate in rates.items()}
        return split_demand(self._region, slots, busy)

    def _usable_slots(self, record: TargetRecord, run_s: float) -> float:
        """Return the slots that a target can use within its rate limit."""
        limit_per_s = self.rate_limiter.total_per_s(
            record.name, record.incarnation
        )
        return min(record.slots, limit_per_s * run_s)


def _take_candidates(
    evaluated: Iterator[Candidate | None], depth: int
) -> list[Candidate]:
    """Return the candidates among the first targets, or the next one.

    Targets that may not be used now count towards the depth. A key then moves
    from them to the same other target each time, which can cache it.

    :param evaluated: targets in the preference order of a key; None for those
        at their rate limit or paused.
    :param depth: number of targets to consider.
    """
    candidates: list[Candidate] = []
    for position, candidate in enumerate(evaluated, 1):
        if candidate is not None:
            candidates.append(candidate)
        if candidates and position >= depth:
            break
    return candidates


def _list_allowed(
    catalogue: Catalogue, query: TargetQuery
) -> Iterator[TargetRecord]:
    return (
        record
        for record in catalogue.list_usable(query.service).targets
        if _is_allowed_region(record, query)
    )


def _is_allowed_region(record: TargetRecord, query: TargetQuery) -> bool:
    allowed = query.home_regions
    return not allowed or record.place.region in allowed
