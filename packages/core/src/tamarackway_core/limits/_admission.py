"""Queue of requests that an instance has read and not started yet.

A queue that was empty a moment ago is the trace of a stall or of a burst, and
all its requests can be served. One that has not been empty for some time is a
standing backlog: it only delays requests, so it is kept short (controlled
delay, RFC 8289).
"""

from collections import deque
from typing import Final, Generic, TypeVar

_BEHIND_AFTER_S: Final = 0.3
# Without a refusal for this time, the instance serves all that comes.
_RECOVERED_AFTER_S: Final = 0.1
_MAX_WAITING: Final = 32  # while behind; some tens of milliseconds
Entry = TypeVar('Entry')


class AdmissionQueue(Generic[Entry]):
    """Waiting requests, of which the oldest is started first.

    >>> queue = AdmissionQueue()
    >>> queue.put('a', now_s=10)
    >>> queue.is_behind(now_s=10.1), queue.is_behind(now_s=10.5)
    (False, True)
    >>> queue.take()
    'a'
    >>> queue.is_behind(now_s=10.6)
    False
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: deque[Entry] = deque()
        self._waiting_since_s: float = 0
        self._refused_s: float = 0
        self._is_behind = False

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def is_behind(self, now_s: float) -> bool:
        """Return whether more requests come than can be started.

        :param now_s: monotonic time in seconds.
        """
        if self._entries:
            waited_s = now_s - self._waiting_since_s
            self._is_behind |= waited_s >= _BEHIND_AFTER_S
        elif now_s - self._refused_s >= _RECOVERED_AFTER_S:
            self._is_behind = False
        return self._is_behind

    def is_full(self, now_s: float) -> bool:
        """Return whether a further request should be refused.

        :param now_s: monotonic time in seconds.
        """
        return self.is_behind(now_s) and len(self._entries) >= _MAX_WAITING

    def put(self, entry: Entry, now_s: float) -> None:
        """Add a request.

        :param entry: the request.
        :param now_s: monotonic time in seconds.
        """
        if not self._entries:
            self._waiting_since_s = now_s
        self._entries.append(entry)

    def take(self) -> Entry:
        """Remove and return the request that has waited longest.

        :raises IndexError: if the queue is empty; check its length first.
        """
        return self._entries.popleft()

    def take_excess(self, now_s: float) -> list[Entry]:
        """Remove and return what is too much while behind, oldest first.

        Those that came last have the best chance to be served in time.

        :param now_s: monotonic time in seconds.
        """
        if not self.is_full(now_s):
            return []
        excess = len(self._entries) - _MAX_WAITING
        return [self._entries.popleft() for _ in range(excess)]

    def record_refusal(self, now_s: float) -> None:
        """Record that a request was refused.

        :param now_s: monotonic time in seconds.
        """
        self._refused_s = now_s
