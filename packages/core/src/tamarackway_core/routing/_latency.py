"""Quantiles of recent latencies."""

import bisect
from collections import deque
from typing import Final

_WINDOW: Final = 1000
_MIN_SAMPLES: Final = 30


class LatencyWindow:
    """The latencies of the last thousand answers, kept sorted.

    Adding takes time linear in the window in the worst case, by one memory
    move; a quantile takes constant time.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a latency in seconds and forget the oldest if need be."""
        self._recent.append(latency_s)
        bisect.insort(self._ordered, latency_s)
        if len(self._recent) > _WINDOW:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def quantile(self, share: float) -> float | None:
        """Return a quantile in seconds, or None with too few samples.

        :param share: from 0 for the least to 1 for the greatest latency.
        """
        count = len(self._ordered)
        if count < _MIN_SAMPLES:
            return None
        return self._ordered[min(int(share * count), count - 1)]
