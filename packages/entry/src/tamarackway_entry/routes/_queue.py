"""Bounded queue of requests that wait for a free slot."""

import heapq

import anyio


class SlotQueue:
    """Wakes waiting requests in the order of their arrival.

    :param max_waiting: requests that may wait at once.

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
        """Whether no more requests may wait."""
        return len(self._events) >= self._max_waiting

    def take_ticket(self) -> int:
        """Return a place at the end of the queue."""
        self._tickets += 1
        return self._tickets

    async def wait(self, ticket: int, timeout_s: float) -> None:
        """Wait until a slot may be free or the time is over.

        :param ticket: place in the queue; a lower one is woken first, also
            when it waits again.
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
        """Wake the request that has waited longest."""
        while self._order:
            event = self._events.pop(heapq.heappop(self._order), None)
            if event is not None:
                event.set()
                return

    def wake_all(self) -> None:
        """Wake all requests, since targets have changed."""
        while self._events:
            self.wake()
