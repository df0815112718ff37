"""Load and latency of one target as measured by an entry instance."""

import enum
import math
from typing import Final

_LATENCY_TIME_CONSTANT_S: Final = 0.6
_INITIAL_LATENCY_S: Final = 0.01


class Verdict(enum.StrEnum):
    """How one attempt at a target ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    LOST = 'lost'
    CANCELLED = 'cancelled'


class TargetTracker:
    """Requests in flight and average latency of one target.

    :param name: name of the target.
    :param slots: number of requests that the target runs concurrently.
    :param now_s: monotonic time in seconds.

    The latency is an exponentially weighted moving average, which follows a
    change within about one second of traffic.
    """

    def __init__(self, name: str, slots: int, now_s: float) -> None:
        """Start with a low latency, so that the target is used soon."""
        self.name = name
        self.slots = slots
        self.in_flight = 0
        self.latency_s = _INITIAL_LATENCY_S
        self.samples = 0
        self._last_finish_s = now_s

    def start(self) -> None:
        """Count an attempt that is about to be sent."""
        self.in_flight += 1

    def finish(self, latency_s: float, verdict: Verdict, now_s: float) -> None:
        """Count an attempt that has ended.

        :param latency_s: time since its dispatch in seconds.
        :param verdict: how the attempt ended.
        :param now_s: monotonic time in seconds.
        """
        self.in_flight -= 1
        if verdict != Verdict.SHED:
            cancelled = verdict == Verdict.CANCELLED
            if not cancelled or latency_s > self.latency_s:
                self.observe(latency_s, now_s)

    def observe(self, latency_s: float, now_s: float) -> None:
        """Add a latency to the average.

        :param latency_s: latency in seconds.
        :param now_s: monotonic time in seconds.
        """
        gap_s = max(now_s - self._last_finish_s, 0)
        gain = 1 - math.exp(-gap_s / _LATENCY_TIME_CONSTANT_S)
        self.samples += 1
        weight = max(gain, 1 / (self.samples + 1))
        self.latency_s += weight * (latency_s - self.latency_s)
        self._last_finish_s = now_s

    @property
    def is_full(self) -> bool:
        """Whether the requests of this entry instance use all slots."""
        return self.in_flight >= self.slots
