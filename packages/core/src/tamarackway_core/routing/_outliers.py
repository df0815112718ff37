"""Ejection of targets that are much slower or lossier than their group."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from tamarackway_core.routing._tracker import TargetTracker


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Bounds of the ejection of targets.

    :param slow_ratio: latency over the group's median that ejects a target.
    :param return_ratio: latency over the median that lets it return.
    :param max_losses: lost attempts in a row that eject a target.
    :param min_samples: answers that a judgement of latency needs.
    :param max_share: largest share of a group that may be ejected.
    :param trial_interval_s: time between trial requests to an ejected target.
    """

    slow_ratio: float = 3.0
    return_ratio: float = 2.0
    max_losses: int = 2
    min_samples: int = 5
    max_share: float = 0.4
    trial_interval_s: float = 0.5


class OutlierJudge:
    """Judges targets by own observations against the rest of their group.

    :param settings: bounds of the ejection.
    """

    def __init__(self, settings: OutlierSettings) -> None:
        """Start with no target ejected."""
        self._settings = settings
        self._next_trial_s: dict[str, float] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """Names of the ejected targets."""
        return frozenset(self._next_trial_s)

    def admit(
        self,
        group: Sequence[TargetTracker],
        now_s: float,
    ) -> list[TargetTracker]:
        """Return the targets that may be used now.

        :param group: all targets of one service and region.
        :param now_s: monotonic time in seconds.

        An ejected target whose trial is due is returned alone, so that the
        next request tries it.
        """
        self._judge(group, now_s)
        for tracker in group:
            due_s = self._next_trial_s.get(tracker.name)
            if due_s is not None and due_s <= now_s:
                interval_s = self._settings.trial_interval_s
                self._next_trial_s[tracker.name] = now_s + interval_s
                return [tracker]
        return [
            tracker for tracker in group if tracker.name not in self.ejected
        ]

    def _judge(self, group: Sequence[TargetTracker], now_s: float) -> None:
        median_s = statistics.median(tracker.latency_s for tracker in group)
        names = {tracker.name for tracker in group}
        room = int(self._settings.max_share * len(group))
        room -= len(names.intersection(self._next_trial_s))
        for tracker in sorted(group, key=_severity, reverse=True):
            if tracker.name in self._next_trial_s:
                self._restore(tracker, median_s)
            elif room > 0 and self._is_outlier(tracker, median_s):
                room -= 1
                interval_s = self._settings.trial_interval_s
                self._next_trial_s[tracker.name] = now_s + interval_s

    def _is_outlier(self, tracker: TargetTracker, median_s: float) -> bool:
        if tracker.losses_in_a_row >= self._settings.max_losses:
            return True
        if tracker.samples < self._settings.min_samples:
            return False
        return tracker.latency_s > self._settings.slow_ratio * median_s

    def _restore(self, tracker: TargetTracker, median_s: float) -> None:
        limit_s = self._settings.return_ratio * median_s
        if not tracker.losses_in_a_row and tracker.latency_s <= limit_s:
            self._next_trial_s.pop(tracker.name)


def _severity(tracker: TargetTracker) -> tuple[int, float]:
    return tracker.losses_in_a_row, tracker.latency_s
