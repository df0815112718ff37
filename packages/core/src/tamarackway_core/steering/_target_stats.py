"""Statistics of targets from the responses to this instance."""

import math
from collections import OrderedDict
from collections.abc import Collection
from typing import Final

from tamarackway_core.steering._model import LoadReport

_REPORT_LIFETIME_S: Final = 0.4  # load changes within a few hundred ms
_SLOWDOWN_LIFETIME_S: Final = 3.0
_GAIN: Final = 0.3  # of the slowdown, the shed rate and the invalid rate
# A few invalid responses among many cost less than the loss of a target.
_MAX_INVALID_RATE: Final = 0.5
_MEAN_LOAD_GAIN: Final = 0.1
_MAX_SLOWDOWN: Final = 8.0
_MIN_EJECTION_S: Final = 0.5
_MAX_EJECTION_S: Final = 4.0
_MAX_KEYS: Final = 24  # below the cache size of targets, which all share
_KEY_LIFETIME_S: Final = 20.0


class TargetStats:
    """Load, slowdown, failures and recent keys of one target.

    Requests of this instance are counted in ``in_flight`` by the sender. The
    load of other senders is known from load reports only. ``shed_rate`` is a
    moving average of the fraction of requests that the target shed, and
    ``invalid_rate`` one of the fraction of its responses that were invalid.

    :param incarnation: incarnation of the target.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, incarnation: int, now_s: float) -> None:
        """Start without samples."""
        self.incarnation = incarnation
        self.in_flight = 0
        self.ejected_until_s = now_s
        self.failures = 0
        self.failing_since_s = math.inf
        self.shed_rate: float = 0
        self.invalid_rate: float = 0
        self._responded_last = True
        self._slowdown = 1.0
        self._slowdown_updated_s = now_s
        self._other_load: float = 0
        self._mean_other_load: float = 0
        self._reported_at_s = -math.inf
        self._reported_slowdown: float = 1
        self._keys: OrderedDict[str, float] = OrderedDict()

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Update the load of other senders from a load report.

        :param report: load that the target reported.
        :param now_s: monotonic time in seconds.
        """
        # The report counts the answered request among the running ones.
        others = report.running + report.waiting - self.in_flight
        self._other_load = max(others, 0)
        self._reported_slowdown = report.slowdown
        self._mean_other_load += _MEAN_LOAD_GAIN * (
            self._other_load - self._mean_other_load
        )
        self._reported_at_s = now_s

    def load(self, now_s: float) -> float:
        """Return the estimated number of running and queued requests.

        :param now_s: monotonic time in seconds.

        The load of other senders decays from the last report to the average
        of all reports.
        """
        age_s = now_s - self._reported_at_s
        weight = math.exp(-age_s / _REPORT_LIFETIME_S)
        others = (
            weight * self._other_load + (1 - weight) * self._mean_other_load
        )
        return self.in_flight + others

    def slowdown(self, now_s: float) -> float:
        """Return current run times relative to normal ones, at least 1.

        :param now_s: monotonic time in seconds.

        This is the larger of the reported and the measured slowdown; both
        decay to 1 without new responses.
        """
        weight = math.exp(-(now_s - self._reported_at_s) / _REPORT_LIFETIME_S)
        reported = 1 + (self._reported_slowdown - 1) * weight
        return max(reported, self._measured_slowdown(now_s))

    def record_success(self, ratio: float, now_s: float) -> None:
        """Record a successful response and reset the failures.

        :param ratio: its run time relative to the nearest average of its
            service.
        :param now_s: monotonic time in seconds.
        """
        current = self._measured_slowdown(now_s)
        bounded = min(max(ratio, 1), _MAX_SLOWDOWN)
        self._slowdown = current + _GAIN * (bounded - current)
        self._slowdown_updated_s = now_s
        self.clear_failures(now_s)
        self.shed_rate *= 1 - _GAIN
        self.invalid_rate *= 1 - _GAIN

    def record_shed(self) -> None:
        """Record that the target shed a request."""
        self.shed_rate += _GAIN * (1 - self.shed_rate)

    def record_invalid_response(self, now_s: float) -> float:
        """Record an invalid response; return the duration of an ejection.

        The target is ejected, as after a failure, if more than half of its
        latest responses were invalid. Otherwise the duration is 0.

        :param now_s: monotonic time in seconds.
        """
        self.invalid_rate += _GAIN * (1 - self.invalid_rate)
        if self.invalid_rate <= _MAX_INVALID_RATE:
            return 0
        return self.record_failure(now_s, responded=True)

    def record_failure(self, now_s: float, *, responded: bool = False) -> float:
        """Eject the target and return the duration of the ejection.

        :param now_s: monotonic time in seconds.
        :param responded: whether the target responded, so that it is reachable.

        The duration doubles with each consecutive failure, up to a limit.
        """
        self._responded_last = responded
        doubled_s = math.ldexp(_MIN_EJECTION_S, self.failures)
        ejection_s = min(doubled_s, _MAX_EJECTION_S)
        self.failures += 1
        self.failing_since_s = min(self.failing_since_s, now_s)
        self.ejected_until_s = now_s + ejection_s
        return ejection_s

    def clear_failures(self, now_s: float) -> None:
        """End an ejection, as if the target had not failed.

        :param now_s: monotonic time in seconds.
        """
        self.failures = 0
        self.failing_since_s = math.inf
        self.ejected_until_s = now_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the target is ejected after failures."""
        if now_s < self.ejected_until_s:
            return True
        # After an ejection, one request at a time probes the target.
        return self.failures > 0 and self.in_flight > 0

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether the target is ejected and did not respond last."""
        return self.is_ejected(now_s) and not self._responded_last

    def record_key(self, key: str, now_s: float) -> None:
        """Record that a request with a key was sent to the target."""
        self._keys[key] = now_s
        self._keys.move_to_end(key)
        if len(self._keys) > _MAX_KEYS:
            self._keys.popitem(last=False)

    def has_key(self, key: str, now_s: float) -> bool:
        """Return whether a request with a key was sent to it recently."""
        sent_s = self._keys.get(key)
        return sent_s is not None and now_s - sent_s < _KEY_LIFETIME_S

    def _measured_slowdown(self, now_s: float) -> float:
        age_s = now_s - self._slowdown_updated_s
        weight = math.exp(-age_s / _SLOWDOWN_LIFETIME_S)
        return 1 + (self._slowdown - 1) * weight


class TargetStatsRegistry:
    """Statistics of all targets, by name."""

    def __init__(self) -> None:
        """Start without targets."""
        self._by_name: dict[str, TargetStats] = {}

    def find(self, name: str, incarnation: int, now_s: float) -> TargetStats:
        """Return the statistics of a target, created if necessary.

        :param name: name of the target.
        :param incarnation: its incarnation; another one resets the statistics.
        :param now_s: monotonic time in seconds.
        """
        stats = self._by_name.get(name)
        if stats is None or stats.incarnation != incarnation:
            stats = TargetStats(incarnation, now_s)
            self._by_name[name] = stats
        return stats

    def retain(self, names: Collection[str]) -> None:
        """Remove the statistics of all other targets.

        :param names: names of the targets to keep.
        """
        for name in self._by_name.keys() - set(names):
            self._by_name.pop(name)
