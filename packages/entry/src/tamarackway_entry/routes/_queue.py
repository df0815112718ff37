"""Bounded queue of requests that wait for a free slot."""

import heapq

import anyio


class SlotQueue:
    """Wakes waiting requests in the order of their arrival.

    :param max_waiting: maximum number of waiting requests.

    Waiting and waking take time logarithmic in the number of requests.
    """

    def __init__(self, max_waiting: int) -> None:
        """Start empty."""
        self._max_waiting = max_waiting
        self._events: dict[int, anyio.Event] = {}
        self._order: list[int] = []
        self._tickets = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._events)

    @property
    def is_full(self) -> bool:
        """Whether the maximum number of requests is waiting."""
        return len(self._events) >= self._max_waiting

    def take_ticket(self) -> int:
        """Return a ticket for the end of the queue."""
        self._tickets += 1
        return self._tickets

    async def wait(self, ticket: int, timeout_s: float) -> None:
        """Wait until a slot may be free or the time-out expires.

        :param ticket: position in the queue. Lower tickets are woken first;
            a request that waits again keeps its ticket and position.
        :param timeout_s: longest wait in seconds.
        """
        event = anyio.Event()
        self._events[ticket] = event
        heapq.heappush(self._order, ticket)
        try:
            with anyio.move_on_after(timeout_s):
                await event.wait()
        finally:
            self._events.pop(ticket, None)

    def wake(self) -> None:
        """Wake the waiting request with the lowest ticket."""
        while self._order:
            event = self._events.pop(heapq.heappop(self._order), None)
            if event is not None:
                event.set()
                return

    def wake_all(self) -> None:
        """Wake all waiting requests, after targets have changed."""
        while self._events:
            self.wake()
