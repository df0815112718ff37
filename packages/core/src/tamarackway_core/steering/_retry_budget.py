"""Share of one instance in the retry budget of a service."""

import math
from collections import deque
from typing import Final

_USED_FRACTION: Final = 0.75  # windows of the instances are not aligned
_RESTART_FRACTION: Final = (
    1 - _USED_FRACTION
)  # the previous process may have used the rest


class WindowedRetryBudget:
    """Limits the retries of a service, hedged requests included.

    :param window_s: window of the budget in seconds.
    :param ratio: retries per request within a window.
    :param extra: additional retries of all instances together in a window.
    :param started_s: monotonic time at which the process started.

    The budget is divided among the instances, so that it also holds while
    they cannot reach each other. A restarted process may replace one that has
    just used its share, so in the first window after its start it uses only
    the fraction that is left unused in normal operation.
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
        self._request_times_s: deque[float] = deque()
        self._retry_times_s: deque[float] = deque()
        self.configure(window_s, ratio, extra)

    def configure(self, window_s: float, ratio: float, extra: float) -> None:
        """Change the limits; recorded requests and retries are kept.

        :param window_s: window of the budget in seconds.
        :param ratio: retries per request within a window.
        :param extra: additional retries of all instances together in a window.
        """
        self._window_s = window_s
        self._ratio = ratio
        self._extra = extra

    def count_request(self, now_s: float) -> None:
        """Count a request from a caller.

        :param now_s: monotonic time in seconds.
        """
        self._request_times_s.append(now_s)
        self._drop_expired(now_s)

    def take(self, instances: int, now_s: float, reserve: float = 0) -> bool:
        """Count a retry and return True, or return False if none is allowed.

        :param instances: entry instances that share the budget, or 0 while
            their number is not known.
        :param now_s: monotonic time in seconds.
        :param reserve: fraction of the budget that this retry may not use.
        """
        self._drop_expired(now_s)
        allowed = self._ratio * len(self._request_times_s)
        if instances:
            allowed += self._extra / instances
        is_first_window = now_s - self._started_s <= self._window_s
        allowed *= _RESTART_FRACTION if is_first_window else _USED_FRACTION
        allowed *= 1 - reserve
        if len(self._retry_times_s) + 1 > allowed:
            return False
        self._retry_times_s.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        start_s = now_s - self._window_s
        for times_s in (self._request_times_s, self._retry_times_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()
