"""Quantiles of recent latencies."""

import bisect
from collections import deque
from typing import Final

_WINDOW_SIZE: Final = 1000
_MIN_SAMPLES: Final = 30


class LatencyWindow:
    """Latencies of the last thousand responses, kept sorted.

    Adding takes linear time in the window size, for moving list elements;
    a quantile takes constant time.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a latency in seconds, replacing the oldest in a full window."""
        self._recent.append(latency_s)
        bisect.insort(self._ordered, latency_s)
        if len(self._recent) > _WINDOW_SIZE:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds, or None with too few samples.

        :param share: from 0 for the lowest to 1 for the highest latency.
        """
        count = len(self._ordered)
        if count < _MIN_SAMPLES:
            return None
        return self._ordered[min(int(share * count), count - 1)]
