"""Chooses the target that will probably answer a request first."""

import itertools
import operator
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from tamarackway_core.steering._catalogue import Catalogue
from tamarackway_core.steering._cold import ColdStartLimiter
from tamarackway_core.steering._demand import DemandTracker
from tamarackway_core.steering._model import ServicePolicy, TargetRecord
from tamarackway_core.steering._observed import TargetStats, TargetStatsRegistry
from tamarackway_core.steering._ranking import prefer_region
from tamarackway_core.steering._regions import approach, split_demand
from tamarackway_core.steering._work import RunTimeEstimator

_CHOICES: Final = 3  # targets of a key; more would crowd out other keys
_SPLIT_LIFETIME_S: Final = 0.5
_USED_SHIFT: Final = 0.5  # of the cap; the rest is left to single choices
_AWAY_COST_S: Final = 0.03  # keeps requests in the region of their key
_RANK_COST_S: Final = 0.01  # keeps a key on its first target when in doubt
_LOAD_COST: Final = 0.35  # share of a run lost to unseen requests of others
_SHED_COST_S: Final = 0.5
_COLD_SLOWNESS: Final = 2.0
_FIRST_DISTANCE_S: Final = 0.03
_DISTANCE_GAIN: Final = 0.2


@dataclass(frozen=True, slots=True)
class TargetQuery:
    """What a request wants of a target.

    :param service: service that must run it.
    :param affinity_key: what targets may remember of it; empty if nothing.
    :param home_regions: the only regions allowed; empty for all.
    :param spread_key: what spreads requests without a key among regions.
    """

    service: str
    affinity_key: str = ''
    home_regions: tuple[str, ...] = ()
    spread_key: str = ''


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target for a request, with the inputs of its choice.

    :param record: the target.
    :param stats: what was seen of it.
    :param cost_s: time until its answer, as expected.
    :param warm: whether it is thought to know the key.
    :param cold: whether it has just started.
    :param load: requests that it probably holds.
    :param rank: its place in the key's order.
    """

    record: TargetRecord
    stats: TargetStats
    cost_s: float
    warm: bool
    cold: bool
    load: float
    rank: int


@dataclass(frozen=True, slots=True)
class _Split:
    made_s: float
    shares: Mapping[str, float]


class TargetSelector:
    """Chooses targets by the time that they will probably need.

    :param region: region of this instance.
    :param catalogue: the targets.
    :param observations: what was seen of them.
    :param work: learnt run times.
    :param demand: requests by region.

    A key has a preferred region, by the demand and capacity of all regions,
    and an order of targets that starts there. The first one is taken to know
    the key, since all instances send it there. Only a few are weighed: under
    load, keys that stray everywhere are new to every target, and new keys run
    longest.
    """

    def __init__(
        self,
        region: str,
        catalogue: Catalogue,
        observations: TargetStatsRegistry,
        work: RunTimeEstimator,
        demand: DemandTracker,
    ) -> None:
        """Start with guessed distances."""
        self.cold_start_limiter = ColdStartLimiter()
        self.instances = 1
        self.position = 0
        self.max_shift_per_s: float = 1
        self._region = region
        self._catalogue = catalogue
        self._observations = observations
        self._work = work
        self._demand = demand
        self._distances_s: dict[str, float] = {region: 0.001}
        self._splits: dict[tuple[str, tuple[str, ...]], _Split] = {}

    def observe_round_trip(self, region: str, round_trip_s: float) -> None:
        """Take in how long a connection to a region took to open.

        :param region: the region.
        :param round_trip_s: time until it was open.
        """
        known_s = self._distances_s.get(region, round_trip_s)
        change_s = round_trip_s - known_s
        # Queues lengthen single samples, so short ones count in full.
        gain = 1 if change_s < 0 else _DISTANCE_GAIN
        self._distances_s[region] = known_s + gain * change_s

    def round_trip_s(self, region: str) -> float:
        """Return the round trip to a region in seconds."""
        return self._distances_s.get(region, _FIRST_DISTANCE_S)

    def select(
        self,
        wish: TargetQuery,
        policy: ServicePolicy,
        tried: Collection[str],
        now_s: float,
    ) -> Candidate | None:
        """Return the best target, or None if there is none now.

        :param wish: what the request wants.
        :param policy: what the operator says of the service.
        :param tried: names of targets that must not get it again.
        :param now_s: monotonic time in seconds.
        """
        rated = self._rate_all(wish, policy, tried, now_s)
        few = itertools.islice(rated, _CHOICES if wish.affinity_key else None)
        return min(few, key=operator.attrgetter('cost_s'), default=None)

    def record_send(self, chosen: Candidate, key: str, now_s: float) -> None:
        """Note that a request goes to a target.

        :param chosen: the target.
        :param key: key of the request, or an empty string.
        :param now_s: monotonic time in seconds.
        """
        if key:
            chosen.stats.remember(key, now_s)
        if chosen.cold:
            self.cold_start_limiter.record(chosen.record.name, now_s)

    def _rate_all(
        self,
        wish: TargetQuery,
        policy: ServicePolicy,
        tried: Collection[str],
        now_s: float,
    ) -> Iterator[Candidate]:
        """Yield the targets that can be had, in the order of the key."""
        ranking = self._catalogue.list_usable(wish.service)
        preferred = self._prefer(wish, ranking.targets, now_s)
        for rank, record in enumerate(
            ranking.order(wish.affinity_key, preferred)
        ):
            if record.name in tried or not _is_home(record, wish):
                continue
            found = self._rate(record, wish, policy, rank, preferred, now_s)
            if found is not None:
                yield found

    def _rate(
        self,
        record: TargetRecord,
        wish: TargetQuery,
        policy: ServicePolicy,
        rank: int,
        preferred: str | None,
        now_s: float,
    ) -> Candidate | None:
        observed = self._observations.find(
            record.name,
            record.incarnation,
            now_s,
        )
        if observed.is_ejected(now_s):
            return None
        cold = self._catalogue.is_cold(record.name, now_s)
        if cold and not self._gate_allows(record, policy, now_s):
            return None
        knows = observed.knows(wish.affinity_key, now_s)
        warm = bool(wish.affinity_key) and (knows or (rank == 0 and not cold))
        load = observed.load(now_s)
        cost_s = self._expect_s(wish.service, load, record.slots, warm=warm)
        cost_s *= observed.slowness(now_s)
        cost_s *= _COLD_SLOWNESS if cold else 1
        cost_s += self.round_trip_s(record.place.region)
        cost_s += observed.sheds * _SHED_COST_S
        if wish.affinity_key:
            cost_s += min(rank, _CHOICES) * _RANK_COST_S
        if record.place.region != preferred:
            cost_s += _AWAY_COST_S
        return Candidate(record, observed, cost_s, warm, cold, load, rank)

    def _expect_s(
        self,
        service: str,
        load: float,
        slots: int,
        *,
        warm: bool,
    ) -> float:
        usual_s = self._work.warm_s(service)
        run_s = usual_s if warm else self._work.cold_s(service)
        ahead = max(load + 1 - slots, 0) / slots
        unseen = _LOAD_COST * load / slots
        return run_s + usual_s * (ahead + unseen)

    def _gate_allows(
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

    def _prefer(
        self,
        wish: TargetQuery,
        targets: tuple[TargetRecord, ...],
        now_s: float,
    ) -> str | None:
        place = (wish.service, wish.home_regions)
        split = self._splits.get(place)
        if split is None or now_s - split.made_s > _SPLIT_LIFETIME_S:
            split = self._renew(split, wish, targets, now_s)
            self._splits[place] = split
        return prefer_region(wish.affinity_key or wish.spread_key, split.shares)

    def _renew(
        self,
        split: _Split | None,
        wish: TargetQuery,
        targets: tuple[TargetRecord, ...],
        now_s: float,
    ) -> _Split:
        wanted = self._divide(wish, targets, now_s)
        if split is None or not split.shares:
            return _Split(now_s, wanted)
        most = (now_s - split.made_s) * self.max_shift_per_s * _USED_SHIFT
        return _Split(now_s, approach(split.shares, wanted, most))

    def _divide(
        self,
        wish: TargetQuery,
        targets: tuple[TargetRecord, ...],
        now_s: float,
    ) -> Mapping[str, float]:
        slots: dict[str, float] = {}
        for record in targets:
            if _is_home(record, wish):
                region = record.place.region
                slots[region] = slots.get(region, 0) + record.slots
        run_s = self._work.warm_s(wish.service)
        rates = self._demand.by_region(wish.service, now_s)
        busy = {region: rate * run_s for region, rate in rates.items()}
        return split_demand(self._region, slots, busy)


def _is_home(record: TargetRecord, wish: TargetQuery) -> bool:
    homes = wish.home_regions
    return not homes or record.place.region in homes
