"""Detection of outages of the store, from own reads and those of peers."""

import math
from typing import Final

# Registrations outlast a shorter outage. If only this instance fails, a peer
# takes over and its first read is known here within this time.
_MIN_OUTAGE_S: Final = 1.0
# All tables are read, and their first changes relayed, within this time.
_RECOVERY_S: Final = 0.5


class OutageDetector:
    """Tells failures of the store from those of the path to it.

    Registrations of targets expire while the store is down, but not while only
    this instance cannot reach it. So an outage also ends when a peer has read
    from the store.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self._answers = True
        self._down_since_s = math.inf
        self._recovered_s = -math.inf

    @property
    def store_answers(self) -> bool:
        """Whether the last own read succeeded; true before the first one."""
        return self._answers

    def record_failure(self, now_s: float) -> None:
        """Record that a read by this instance failed.

        :param now_s: monotonic time in seconds.
        """
        self._answers = False
        self._down_since_s = min(self._down_since_s, now_s)

    def record_success(self, now_s: float) -> None:
        """Record that a read by this instance succeeded.

        :param now_s: monotonic time in seconds.
        """
        self._answers = True
        self._end_outage(now_s, now_s)

    def record_peer_read(self, read_s: float, now_s: float) -> None:
        """Record that a peer has read from the store.

        :param read_s: time of the read, by the clock of this instance.
        :param now_s: monotonic time in seconds.
        """
        if read_s > self._down_since_s:
            self._end_outage(read_s, now_s)

    def has_recovered(self, now_s: float) -> bool:
        """Return whether an outage has just ended.

        :param now_s: monotonic time in seconds.
        """
        return now_s - self._recovered_s < _RECOVERY_S

    def is_affected(self, now_s: float) -> bool:
        """Return whether there is an outage, or one has just ended.

        :param now_s: monotonic time in seconds.
        """
        return self._down_since_s <= now_s or self.has_recovered(now_s)

    def _end_outage(self, read_s: float, now_s: float) -> None:
        if read_s - self._down_since_s > _MIN_OUTAGE_S:
            self._recovered_s = now_s
        self._down_since_s = math.inf
