"""State of this instance, and the requests that it has in progress."""

from collections.abc import Callable, Generator
from contextlib import contextmanager
from typing import Final

from tamarackway_core.places import State

from tamarackway_entry.kernel import Clock

_RATE_WINDOW_S: Final = 1.0


class Lifecycle:
    """Tells whether the instance is leaving and how busy it is.

    :param clock: clocks of the daemon.
    """

    def __init__(self, clock: Clock) -> None:
        """Start live and idle."""
        self.state = State.LIVE
        self.in_progress = 0
        self.servers = 0
        self.requests_per_s: float = 0
        self._clock = clock
        self._counted = 0
        self._counted_since_s = clock.now_s()
        self._stoppers: list[Callable[[], None]] = []

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.state == State.LEAVING

    def leave(self) -> None:
        """Begin a planned stop."""
        self.state = State.LEAVING

    def on_stop(self, stopper: Callable[[], None]) -> None:
        """Call a function once nothing may come in any more."""
        self._stoppers.append(stopper)

    def stop(self) -> None:
        """Stop accepting connections."""
        for stopper in self._stoppers:
            stopper()

    def tick(self) -> None:
        """Count the requests of the last second."""
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._counted_since_s
        if elapsed_s >= _RATE_WINDOW_S:
            self.requests_per_s = self._counted / elapsed_s
            self._counted = 0
            self._counted_since_s = now_s

    @contextmanager
    def track_request(self) -> Generator[None]:
        """Count a request as in progress."""
        self._counted += 1
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    @contextmanager
    def track_server(self) -> Generator[None]:
        """Count a server as running."""
        self.servers += 1
        try:
            yield
        finally:
            self.servers -= 1
