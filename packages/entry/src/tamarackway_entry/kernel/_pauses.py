"""Detection of pauses in which the process did not run."""

from typing import Final

from tamarackway_entry.kernel._clock import Clock

_MIN_PAUSE_S: Final = (
    2.0  # peers reset links that miss heartbeats for this long
)


class PauseDetector:
    """Counts pauses in which the process was stopped or starved.

    :param clock: clocks of the daemon.

    The first check after a pause increments the count, which never decreases.
    A timer that checks before a request therefore cannot hide the pause from
    the request, which compares counts.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with a count of zero."""
        self._clock = clock
        self._last_check_s = clock.now_s()
        self._count = 0

    def count(self) -> int:
        """Return the number of pauses so far.

        Call this several times a second, since a long gap between two calls
        counts as a pause.
        """
        now_s = self._clock.now_s()
        if now_s - self._last_check_s > _MIN_PAUSE_S:
            self._count += 1
        self._last_check_s = now_s
        return self._count
