"""Schedule of a graceful shutdown that ends before the process is killed."""

from dataclasses import dataclass
from typing import Final

# The end of the grace period is left for what must follow the last response.
_CLOSING_S: Final = 0.45  # the HTTP servers write responses and close
_EXIT_S: Final = 0.4  # the process ends; signals may be handled late
# A response that comes later may be missed, not one that comes before.
_MIN_SERVING_FRACTION: Final = 5 / 6


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a graceful shutdown.

    All of them follow from the grace period, whatever the load is.

    :param started_s: monotonic time at which the shutdown began.
    :param grace_s: time after which the process is killed.
    :param advice_lifetime_s: time for which callers may still come because of
        earlier look-ups.

    >>> schedule = ShutdownSchedule(100, grace_s=10, advice_lifetime_s=4)
    >>> schedule.admission_ends_s, schedule.responses_due_s
    (104, 109.15)
    """

    started_s: float
    grace_s: float
    advice_lifetime_s: float

    @property
    def admission_ends_s(self) -> float:
        """Monotonic time from which new requests are refused."""
        return min(
            self.started_s + self.advice_lifetime_s, self.responses_due_s
        )

    @property
    def responses_due_s(self) -> float:
        """Monotonic time by which every accepted request has a response."""
        return self._before_end_s(_CLOSING_S + _EXIT_S)

    @property
    def connections_closed_s(self) -> float:
        """Monotonic time at which the remaining connections are closed."""
        return self._before_end_s(_EXIT_S)

    def admits(self, now_s: float, deadline_s: float) -> bool:
        """Return whether a request that arrives now certainly gets a response.

        :param now_s: monotonic time in seconds.
        :param deadline_s: monotonic time by which its response is due.
        """
        return (
            now_s < self.admission_ends_s and deadline_s <= self.responses_due_s
        )

    def _before_end_s(self, reserve_s: float) -> float:
        longest_s = self.grace_s * (1 - _MIN_SERVING_FRACTION)
        scale = min(longest_s / (_CLOSING_S + _EXIT_S), 1)
        return self.started_s + self.grace_s - reserve_s * scale
