"""Target selection for one service, based on previous attempts."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from tamarackway_core.places import State, Target
from tamarackway_core.randomness import RandomSource
from tamarackway_core.routing._budget import RetryBudget
from tamarackway_core.routing._latency import LatencyWindow
from tamarackway_core.routing._outliers import OutlierDetector, OutlierSettings
from tamarackway_core.routing._policies import TargetPolicy
from tamarackway_core.routing._regions import RegionChoice
from tamarackway_core.routing._tracker import TargetTracker, Verdict


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a service's router.

    :param extra_share: hedges and retries per first attempt.
    :param hedge_quantile: latency quantile after which a hedge is sent.
    :param outliers: thresholds for the ejection of targets.
    """

    extra_share: float = 0.05
    hedge_quantile: float = 0.95
    outliers: OutlierSettings = field(default_factory=OutlierSettings)


@dataclass(frozen=True, slots=True)
class Choice:
    """A target chosen for one attempt.

    :param target: the target.
    :param region: region of the target.
    :param candidates: number of targets to choose from.
    :param ejected: targets of the region that are ejected as outliers.
    """

    target: Target
    region: RegionChoice
    candidates: int
    ejected: tuple[str, ...]


class ServiceRouter:
    """Selects targets for one service from the results of own attempts.

    :param policy: load balancing policy.
    :param settings: settings of the router.
    """

    def __init__(self, policy: TargetPolicy, settings: RouterSettings) -> None:
        """Start without targets."""
        self.policy = policy
        self.budget = RetryBudget(settings.extra_share)
        self.outlier_detector = OutlierDetector(settings.outliers)
        self._settings = settings
        self._latencies = LatencyWindow()
        self._targets: dict[str, Target] = {}
        self._trackers: dict[str, TargetTracker] = {}

    def update_targets(self, targets: Iterable[Target], now_s: float) -> None:
        """Replace the targets, keeping the statistics of known ones.

        :param targets: all targets of the service.
        :param now_s: monotonic time in seconds.
        """
        self._targets = {target.name: target for target in targets}
        for name, target in self._targets.items():
            tracker = self._trackers.get(name)
            if tracker is None:
                tracker = TargetTracker(name, target.slots, now_s)
                self._trackers[name] = tracker
            tracker.slots = target.slots
        removed = self._trackers.keys() - self._targets.keys()
        for name in removed:
            if not self._trackers[name].in_flight:
                self._trackers.pop(name)
                self.outlier_detector.record_reachable(name)

    def choose(
        self,
        regions: Sequence[RegionChoice],
        now_s: float,
        rng: RandomSource,
        excluded: Collection[str] = (),
    ) -> Choice | None:
        """Return a target with a free slot, or None if there is none.

        :param regions: regions to consider, in order of preference.
        :param now_s: monotonic time in seconds.
        :param rng: source of random numbers.
        :param excluded: names of targets that must not be chosen.
        """
        for region in regions:
            group = [
                self._trackers[target.name]
                for target in self._targets.values()
                if target.place.region == region.region
                and target.state == State.LIVE
                and target.name not in excluded
            ]
            choice = self._choose_in_group(region, group, now_s, rng)
            if choice is not None:
                return choice
        return None

    def has_targets(self, regions: Iterable[RegionChoice]) -> bool:
        """Return whether any region has a live target."""
        names = {region.region for region in regions}
        return any(
            target.place.region in names and target.state == State.LIVE
            for target in self._targets.values()
        )

    def start(self, choice: Choice) -> None:
        """Count an attempt that is about to be sent."""
        self._trackers[choice.target.name].start()

    def finish(
        self,
        choice: Choice,
        latency_s: float,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        """Record the end of an attempt.

        :param choice: choice that the attempt was started with.
        :param latency_s: time since its dispatch in seconds.
        :param verdict: how the attempt ended.
        :param now_s: monotonic time in seconds.
        """
        name = choice.target.name
        self._trackers[name].finish(latency_s, verdict, now_s)
        if verdict == Verdict.ANSWERED:
            self._latencies.add(latency_s)
        elif verdict == Verdict.LOST:
            self.outlier_detector.record_loss(name)

    def choose_trial(
        self,
        regions: Sequence[RegionChoice],
        now_s: float,
    ) -> Choice | None:
        """Return an ejected target that is due for a trial, or None.

        :param regions: regions that the request may be served from.
        :param now_s: monotonic time in seconds.
        """
        by_name = {region.region: region for region in regions}
        names = [
            target.name
            for target in self._targets.values()
            if target.state == State.LIVE and target.place.region in by_name
        ]
        name = self.outlier_detector.take_trial(names, now_s)
        if name is None:
            return None
        target = self._targets[name]
        return Choice(target, by_name[target.place.region], 1, ())

    def list_lost(self) -> list[Target]:
        """Return the targets that are ejected until a probe reaches them."""
        return [
            self._targets[name]
            for name in self.outlier_detector.lost
            if name in self._targets
        ]

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight."""
        return sum(tracker.in_flight for tracker in self._trackers.values())

    def hedge_delay_s(self) -> float | None:
        """Return the delay before a hedge, or None with too few samples."""
        return self._latencies.quantile(self._settings.hedge_quantile)

    def _choose_in_group(
        self,
        region: RegionChoice,
        group: list[TargetTracker],
        now_s: float,
        rng: RandomSource,
    ) -> Choice | None:
        if not group:
            return None
        usable = [
            tracker
            for tracker in self.outlier_detector.filter_usable(group, now_s)
            if not tracker.is_full
        ]
        if not usable:
            return None
        picked = self.policy.pick(usable, rng)
        ejected = self.outlier_detector.ejected
        return Choice(
            self._targets[picked.name],
            region,
            len(usable),
            tuple(tracker.name for tracker in group if tracker.name in ejected),
        )
