"""Fleet-wide rate limit of requests to cold targets."""

from collections import deque
from typing import Final

_WINDOW_S: Final = 1.05  # margin over the 1 s that the limit refers to
_USED_FRACTION: Final = 0.8  # the rest allows for clock and network delays


class ColdStartLimiter:
    """Limits the rate of requests to cold targets.

    Each instance enforces its share of the limit on its own requests.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._send_times_s: dict[str, deque[float]] = {}

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
        :param per_s: maximum requests per second from all instances together.
        :param instances: entry instances that may send to it, or 0 while
            their number is not known.
        :param position: position of this instance among them, from 0.
        :param now_s: monotonic time in seconds.

        The limit is divided evenly among the instances; the first ones get
        the remainder.
        """
        if not instances:
            return False
        total = int(per_s * _USED_FRACTION)
        allowed_each, remainder = divmod(total, instances)
        allowed = allowed_each + int(position < remainder)
        send_times_s = self._send_times_s.get(target)
        if send_times_s is None:
            return allowed > 0
        while send_times_s and now_s - send_times_s[0] > _WINDOW_S:
            send_times_s.popleft()
        return len(send_times_s) < allowed

    def record(self, target: str, now_s: float) -> None:
        """Record a request that was sent.

        :param target: name of the target.
        :param now_s: monotonic time in seconds.
        """
        self._send_times_s.setdefault(target, deque()).append(now_s)
