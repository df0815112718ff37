"""Ejection of targets that are lost or much slower than their group."""

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tamarackway_core.routing._tracker import TargetTracker


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Bounds of the ejection of targets.

    :param slow_ratio: latency over the group's median that ejects a target.
    :param return_ratio: latency over the median that lets it return.
    :param min_samples: answers that a judgement of latency needs.
    :param max_share: largest share of a group that may be ejected for
        slowness.
    :param trial_interval_s: time between trials of an ejected target.
    """

    slow_ratio: float = 2.5
    return_ratio: float = 1.7
    min_samples: int = 5
    max_share: float = 0.4
    trial_interval_s: float = 0.25


class OutlierDetector:
    """Judges targets by own observations against the rest of their group.

    :param settings: bounds of the ejection.

    A target that lost a request is out until a probe reaches it. A slow one
    is out until trials, which are spare copies of requests, show that it has
    recovered; no caller waits for either.
    """

    def __init__(self, settings: OutlierSettings) -> None:
        """Start with no target ejected."""
        self._settings = settings
        self._next_trial_s: dict[str, float] = {}
        self._lost: set[str] = set()

    @property
    def slow(self) -> frozenset[str]:
        """Names of the targets that are out for slowness."""
        return frozenset(self._next_trial_s)

    @property
    def lost(self) -> frozenset[str]:
        """Names of the targets that are out until a probe reaches them."""
        return frozenset(self._lost)

    @property
    def ejected(self) -> frozenset[str]:
        """Names of all targets that are out."""
        return frozenset(self._lost.union(self._next_trial_s))

    def record_loss(self, name: str) -> None:
        """Eject a target that lost a request."""
        self._lost.add(name)

    def record_reachable(self, name: str) -> None:
        """Let a target return that a probe has reached."""
        self._lost.discard(name)

    def filter_usable(
        self,
        group: Sequence[TargetTracker],
        now_s: float,
    ) -> list[TargetTracker]:
        """Return the targets that may be used now.

        :param group: all targets of one service and region.
        :param now_s: monotonic time in seconds.
        """
        self._judge(group, now_s)
        return [
            tracker
            for tracker in group
            if tracker.name not in self._next_trial_s
            and tracker.name not in self._lost
        ]

    def take_trial(self, names: Iterable[str], now_s: float) -> str | None:
        """Return a slow target whose trial is due, or None.

        :param names: targets that could be tried.
        :param now_s: monotonic time in seconds.
        """
        for name in names:
            due_s = self._next_trial_s.get(name)
            if due_s is not None and due_s <= now_s:
                interval_s = self._settings.trial_interval_s
                self._next_trial_s[name] = now_s + interval_s
                return name
        return None

    def _judge(self, group: Sequence[TargetTracker], now_s: float) -> None:
        median_s = statistics.median(tracker.latency_s for tracker in group)
        room = int(self._settings.max_share * len(group))
        room -= sum(tracker.name in self._next_trial_s for tracker in group)
        for tracker in group:
            if tracker.name in self._next_trial_s:
                self._restore(tracker, median_s)
            elif room > 0 and self._is_slow(tracker, median_s):
                room -= 1
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
