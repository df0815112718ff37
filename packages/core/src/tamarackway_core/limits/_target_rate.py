"""Rate limits that targets set for all entry instances together."""

import math
from dataclasses import dataclass
from typing import Final

_CHANGE_FRACTION: Final = 0.2  # smaller changes are not worth a log line


@dataclass(frozen=True, slots=True)
class TargetRateLimit:
    """Rate limit of one target, as an instance has read it in a response.

    :param target: name of the target.
    :param incarnation: incarnation of the target that set the limit.
    :param total_per_s: requests per second that the target accepts from all
        instances together; infinity once it sets no limit any more.
    :param age_s: time in seconds since the response.
    """

    target: str
    incarnation: int
    total_per_s: float
    age_s: float


class _KnownLimit:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.total_per_s = math.inf
        self.logged_per_s = math.inf

    def has_changed(self) -> bool:
        """Return whether the limit differs much from the one last logged."""
        if self.total_per_s == self.logged_per_s:
            return False
        known = math.isfinite(self.logged_per_s)
        if not known or not math.isfinite(self.total_per_s):
            return True
        change_per_s = abs(self.total_per_s - self.logged_per_s)
        return change_per_s > _CHANGE_FRACTION * self.logged_per_s


class TargetRateLimiter:
    """Rate limits of all targets, as read in their responses."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _KnownLimit] = {}

    def observe(
        self, target: str, incarnation: int, total_per_s: float
    ) -> bool:
        """Record the limit in a response; return whether it changed much.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param total_per_s: requests per second that it accepts from all
            instances together; infinity for no limit.
        """
        known = self._limits.get(target)
        if known is None or known.incarnation != incarnation:
            if math.isinf(total_per_s):
                return False
            known = _KnownLimit(incarnation)
            self._limits[target] = known
        known.total_per_s = total_per_s
        if known.has_changed():
            known.logged_per_s = total_per_s
            return True
        return False
