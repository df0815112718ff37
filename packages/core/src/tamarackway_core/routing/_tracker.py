"""Observations that an entry instance makes of one target."""

import enum
import math
from typing import Final

_LATENCY_WINDOW_S: Final = 0.6
_INITIAL_LATENCY_S: Final = 0.01


class Verdict(enum.StrEnum):
    """How one attempt at a target ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    LOST = 'lost'
    CANCELLED = 'cancelled'


class TargetTracker:
    """Requests in flight and recent latencies of one target.

    :param name: name of the target.
    :param slots: requests that the target runs at once.
    :param now_s: monotonic time in seconds.

    The latency is an average whose weights fall exponentially with age, so a
    change shows within about one second of traffic.
    """

    def __init__(self, name: str, slots: int, now_s: float) -> None:
        """Start with a short latency so that the target is tried soon."""
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
        :param verdict: how it ended.
        :param now_s: monotonic time in seconds.
        """
        self.in_flight -= 1
        if verdict != Verdict.SHED:
            shortened = verdict == Verdict.CANCELLED
            if not shortened or latency_s > self.latency_s:
                self.observe(latency_s, now_s)

    def observe(self, latency_s: float, now_s: float) -> None:
        """Add a latency to the average.

        :param latency_s: observed time in seconds.
        :param now_s: monotonic time in seconds.
        """
        gap_s = max(now_s - self._last_finish_s, 0)
        share = 1 - math.exp(-gap_s / _LATENCY_WINDOW_S)
        self.samples += 1
        weight = max(share, 1 / (self.samples + 1))
        self.latency_s += weight * (latency_s - self.latency_s)
        self._last_finish_s = now_s

    @property
    def is_full(self) -> bool:
        """Whether this entry alone fills the target's slots."""
        return self.in_flight >= self.slots
