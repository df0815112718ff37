"""What this instance has seen of each target."""

import math
from collections import OrderedDict
from collections.abc import Collection
from typing import Final

from tamarackway_core.steering._model import LoadReport

_REPORT_LIFETIME_S: Final = 0.4  # work of a few hundred ms changes the load
_SLOWNESS_LIFETIME_S: Final = 3.0
_GAIN: Final = 0.3
_AVERAGE_GAIN: Final = 0.1
_MAX_SLOWNESS: Final = 8.0
_FIRST_EJECTION_S: Final = 0.5
_LONGEST_EJECTION_S: Final = 4.0
_MAX_KEYS: Final = 24  # fewer than targets remember, since others send too
_KEY_LIFETIME_S: Final = 20.0


class TargetStats:
    """One target as this instance sees it.

    :param incarnation: incarnation of the target.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, incarnation: int, now_s: float) -> None:
        """Start without observations."""
        self.incarnation = incarnation
        self.in_flight = 0
        self.ejected_until_s = now_s
        self.failures = 0
        self.sheds: float = 0
        self._slowness = 1.0
        self._slowness_s = now_s
        self._others: float = 0
        self._usual_others: float = 0
        self._report_s = -math.inf
        self._told_slowdown: float = 1
        self._keys: OrderedDict[str, float] = OrderedDict()

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Take in what the target told of its load.

        :param report: the report.
        :param now_s: monotonic time in seconds.
        """
        # The answered request itself is among the running ones.
        others = report.running + report.waiting - self.in_flight
        self._others = max(others, 0)
        self._told_slowdown = report.slowdown
        self._usual_others += _AVERAGE_GAIN * (
            self._others - self._usual_others
        )
        self._report_s = now_s

    def load(self, now_s: float) -> float:
        """Return the requests that the target probably holds.

        :param now_s: monotonic time in seconds.

        Reports fade to the usual load of others as they age.
        """
        age_s = now_s - self._report_s
        trust = math.exp(-age_s / _REPORT_LIFETIME_S)
        others = trust * self._others + (1 - trust) * self._usual_others
        return self.in_flight + others

    def slowness(self, now_s: float) -> float:
        """Return how much longer than usual work takes here.

        :param now_s: monotonic time in seconds.
        """
        trust = math.exp(-(now_s - self._report_s) / _REPORT_LIFETIME_S)
        told = 1 + (self._told_slowdown - 1) * trust
        return max(told, self._measured_slowness(now_s))

    def record_success(self, ratio: float, now_s: float) -> None:
        """Take in an answer.

        :param ratio: its run time over the usual one.
        :param now_s: monotonic time in seconds.
        """
        current = self._measured_slowness(now_s)
        bounded = min(max(ratio, 1), _MAX_SLOWNESS)
        self._slowness = current + _GAIN * (bounded - current)
        self._slowness_s = now_s
        self.failures = 0
        self.sheds *= 1 - _GAIN

    def record_shed(self) -> None:
        """Take in that the target refused a request."""
        self.sheds += _GAIN * (1 - self.sheds)

    def record_failure(self, now_s: float) -> float:
        """Eject the target for a while and return for how long.

        :param now_s: monotonic time in seconds.
        """
        doubled_s = math.ldexp(_FIRST_EJECTION_S, self.failures)
        wait_s = min(doubled_s, _LONGEST_EJECTION_S)
        self.failures += 1
        self.ejected_until_s = now_s + wait_s
        return wait_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is out after failures."""
        if now_s < self.ejected_until_s:
            return True
        # After an ejection one request at a time tries the target out.
        return self.failures > 0 and self.in_flight > 0

    def remember(self, key: str, now_s: float) -> None:
        """Note that the target has been sent a key."""
        self._keys[key] = now_s
        self._keys.move_to_end(key)
        if len(self._keys) > _MAX_KEYS:
            self._keys.popitem(last=False)

    def knows(self, key: str, now_s: float) -> bool:
        """Return whether the target was sent a key lately."""
        sent_s = self._keys.get(key)
        return sent_s is not None and now_s - sent_s < _KEY_LIFETIME_S

    def _measured_slowness(self, now_s: float) -> float:
        age_s = now_s - self._slowness_s
        fade = math.exp(-age_s / _SLOWNESS_LIFETIME_S)
        return 1 + (self._slowness - 1) * fade


class TargetStatsRegistry:
    """Observations of all targets, by name."""

    def __init__(self) -> None:
        """Start without targets."""
        self._observed: dict[str, TargetStats] = {}

    def find(self, name: str, incarnation: int, now_s: float) -> TargetStats:
        """Return what was seen of one incarnation of a target.

        :param name: name of the target.
        :param incarnation: its incarnation; a newer one starts afresh.
        :param now_s: monotonic time in seconds.
        """
        known = self._observed.get(name)
        if known is None or known.incarnation != incarnation:
            known = TargetStats(incarnation, now_s)
            self._observed[name] = known
        return known

    def retain(self, names: Collection[str]) -> None:
        """Forget targets that are gone.

        :param names: targets that still exist.
        """
        for name in self._observed.keys() - set(names):
            self._observed.pop(name)
