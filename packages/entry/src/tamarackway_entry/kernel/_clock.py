"""Clocks of the daemon."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time."""

    def now_s(self) -> float:
        """Return monotonic time in seconds, suspensions included."""

    def time_s(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """The clocks of the operating system.

    The monotonic clock goes on while the machine is suspended, so a lease
    that lapses meanwhile is seen to have lapsed.
    """

    def now_s(self) -> float:
        """Return monotonic time in seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time_s(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
