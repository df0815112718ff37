"""Bounds what cold targets get from all instances together."""

from collections import deque
from typing import Final

_WINDOW_S: Final = 1.05  # a little over the second that the bound counts
_USED_SHARE: Final = 0.8  # of the bound; the rest covers clocks and delays


class ColdStartLimiter:
    """Counts the requests sent to cold targets within the last second."""

    def __init__(self) -> None:
        """Start without requests."""
        self._sent_s: dict[str, deque[float]] = {}

    def allows(
        self,
        target: str,
        per_s: float,
        instances: int,
        position: int,
        now_s: float,
    ) -> bool:
        """Return whether this instance may send one more request.

        :param target: name of a cold target.
        :param per_s: requests a second that the target bears from all.
        :param instances: entry instances that may send to it, or 0 while
            their number is not known.
        :param position: place of this instance among them, from 0.
        :param now_s: monotonic time in seconds.

        The whole number of requests is divided evenly; the first instances
        get one more where it does not divide.
        """
        if not instances:
            return False
        total = int(per_s * _USED_SHARE)
        own, over = divmod(total, instances)
        allowed = own + int(position < over)
        sent_s = self._sent_s.get(target)
        if sent_s is None:
            return allowed > 0
        while sent_s and now_s - sent_s[0] > _WINDOW_S:
            sent_s.popleft()
        return len(sent_s) < allowed

    def record(self, target: str, now_s: float) -> None:
        """Count a request that was sent.

        :param target: name of the target.
        :param now_s: monotonic time in seconds.
        """
        self._sent_s.setdefault(target, deque()).append(now_s)
