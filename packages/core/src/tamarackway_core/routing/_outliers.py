"""Ejection of targets that failed or are much slower than their group."""

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tamarackway_core.routing._tracker import TargetTracker


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Thresholds for the ejection of targets.

    :param slow_ratio: ratio of latency to the group median above which a
        target is ejected.
    :param return_ratio: ratio to the median at which it is readmitted.
    :param min_samples: responses required before a target can be ejected.
    :param max_share: largest share of a group that may be ejected as slow.
    :param trial_interval_s: time between trials of an ejected target.
    """

    slow_ratio: float = 2.5
    return_ratio: float = 1.7
    min_samples: int = 5
    max_share: float = 0.4
    trial_interval_s: float = 0.25


class OutlierDetector:
    """Compares the latency of each target with the rest of its group.

    :param settings: thresholds for the ejection.

    A target that lost a request is ejected until a probe reaches it. A slow
    one is ejected until trials, which are duplicates of requests, show that it
    has recovered. No caller waits for a probe or a trial.
    """

    def __init__(self, settings: OutlierSettings) -> None:
        """Start with no target ejected."""
        self._settings = settings
        self._next_trial_s: dict[str, float] = {}
        self._lost: set[str] = set()

    @property
    def slow(self) -> frozenset[str]:
        """Names of the targets that are ejected as slow."""
        return frozenset(self._next_trial_s)

    @property
    def lost(self) -> frozenset[str]:
        """Names of the targets that are ejected until a probe reaches them."""
        return frozenset(self._lost)

    @property
    def ejected(self) -> frozenset[str]:
        """Names of all ejected targets."""
        return frozenset(self._lost.union(self._next_trial_s))

    def record_loss(self, name: str) -> None:
        """Eject a target that lost a request."""
        self._lost.add(name)

    def record_reachable(self, name: str) -> None:
        """Readmit a target that a probe has reached."""
        self._lost.discard(name)

    def filter_usable(
        self,
        group: Sequence[TargetTracker],
        now_s: float,
    ) -> list[TargetTracker]:
        """Update the ejections and return the targets that are not ejected.

        :param group: all targets of one service and region.
        :param now_s: monotonic time in seconds.
        """
        self._update_slow(group, now_s)
        return [
            tracker
            for tracker in group
            if tracker.name not in self._next_trial_s
            and tracker.name not in self._lost
        ]

    def take_trial(self, names: Iterable[str], now_s: float) -> str | None:
        """Return a slow target whose trial is due, or None.

        :param names: names of the targets to consider.
        :param now_s: monotonic time in seconds.
        """
        for name in names:
            due_s = self._next_trial_s.get(name)
            if due_s is not None and due_s <= now_s:
                interval_s = self._settings.trial_interval_s
                self._next_trial_s[name] = now_s + interval_s
                return name
        return None

    def _update_slow(
        self, group: Sequence[TargetTracker], now_s: float
    ) -> None:
        median_s = statistics.median(tracker.latency_s for tracker in group)
        remaining = int(self._settings.max_share * len(group))
        remaining -= sum(
            tracker.name in self._next_trial_s for tracker in group
        )
        for tracker in group:
            if tracker.name in self._next_trial_s:
                self._restore(tracker, median_s)
            elif remaining > 0 and self._is_slow(tracker, median_s):
                remaining -= 1
                interval_s = self._settings.trial_interval_s
                self._next_trial_s[tracker.name] = now_s + interval_s

    def _is_slow(self, tracker: TargetTracker, median_s: float) -> bool:
        if tracker.samples < self._settings.min_samples:
            return False
        return tracker.latency_s > self._settings.slow_ratio * median_s

    def _restore(self, tracker: TargetTracker, median_s: float) -> None:
        limit_s = self._settings.return_ratio * median_s
        if tracker.latency_s <= limit_s:
            self._next_trial_s.pop(tracker.name)
