"""Detects that the process was stopped or starved for a while."""

from typing import Final

from tamarackway_entry.kernel._clock import Clock

_PAUSE_S: Final = 2.0  # heartbeats miss after this time; peers drop the links


class PauseDetector:
    """Counts pauses of the process.

    :param clock: clocks of the daemon.

    Whoever looks first after a pause counts it, and it stays counted for all
    others: a timer that runs before a request cannot hide the pause from it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without pauses."""
        self._clock = clock
        self._seen_s = clock.now_s()
        self._count = 0

    def count(self) -> int:
        """Return how many pauses there were; call it several times a second."""
        now_s = self._clock.now_s()
        if now_s - self._seen_s > _PAUSE_S:
            self._count += 1
        self._seen_s = now_s
        return self._count
