"""This instance's part of the budget of repeated requests."""

import math
from collections import deque
from typing import Final

_USED_SHARE: Final = 0.75  # of the budget; windows of instances differ
_FRESH_SHARE: Final = 1 - _USED_SHARE  # the process before may have used that


class WindowedRetryBudget:
    """Bounds how many requests of a service are sent more than once.

    :param window_s: window of the budget in seconds.
    :param ratio: repeats for each request within a window.
    :param extra: repeats that all instances may add in a window.
    :param started_s: monotonic time at which the process started.

    The budget is divided among the instances, so the sum holds also while
    they cannot reach each other. A process that has just started keeps to
    what the one that it replaces must have left over of the window.
    """

    def __init__(
        self,
        window_s: float,
        ratio: float,
        extra: float,
        started_s: float = -math.inf,
    ) -> None:
        """Start without requests."""
        self._started_s = started_s
        self._requests_s: deque[float] = deque()
        self._repeats_s: deque[float] = deque()
        self.configure(window_s, ratio, extra)

    def configure(self, window_s: float, ratio: float, extra: float) -> None:
        """Follow a changed budget; what was counted stays.

        :param window_s: window of the budget in seconds.
        :param ratio: repeats for each request within a window.
        :param extra: repeats that all instances may add in a window.
        """
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra

    def count_request(self, now_s: float) -> None:
        """Count a request of a caller.

        :param now_s: monotonic time in seconds.
        """
        self._requests_s.append(now_s)
        self._forget(now_s)

    def take(self, instances: int, now_s: float, reserve: float = 0) -> bool:
        """Count a repeat and return True, or return False if none is left.

        :param instances: entry instances that share the budget, or 0 while
            their number is not known.
        :param now_s: monotonic time in seconds.
        :param reserve: share of the budget that is left to other repeats.
        """
        self._forget(now_s)
        allowed = self._ratio * len(self._requests_s)
        if instances:
            allowed += self._extra / instances
        is_fresh = now_s - self._started_s <= self._window_s
        allowed *= _FRESH_SHARE if is_fresh else _USED_SHARE
        allowed *= 1 - reserve
        if len(self._repeats_s) + 1 > allowed:
            return False
        self._repeats_s.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times_s in (self._requests_s, self._repeats_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()
