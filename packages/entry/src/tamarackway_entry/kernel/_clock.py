"""Clocks of the daemon."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def now_s(self) -> float:
        """Return monotonic time in seconds, suspensions included."""

    def time_s(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """The clocks of the operating system.

    The monotonic clock includes time in which the machine is suspended, so
    that leases expire during a suspension too.
    """

    def now_s(self) -> float:
        """Return monotonic time in seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time_s(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
