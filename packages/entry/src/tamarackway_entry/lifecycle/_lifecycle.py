"""State of this instance, and the requests that it has in progress."""

import itertools
from collections.abc import Callable, Generator
from contextlib import contextmanager
from typing import Final

import anyio
from tamarackway_core.places import State
from tamarackway_core.shutdown import ShutdownSchedule

from tamarackway_entry.kernel import Clock

_RATE_WINDOW_S: Final = 1.0
_RETURN_DELAY_S: Final = 0.05  # other instances serve at once


class Lifecycle:
    """Tracks the state of this instance, its servers and its requests.

    The owner may replace the callback ``return_delay_s``. It returns after how
    many seconds a caller should come back that is refused during a shutdown.

    :param clock: clocks of the daemon.
    """

    def __init__(self, clock: Clock) -> None:
        """Start in the live state without requests."""
        self.state = State.LIVE
        self.running_servers = 0
        self.requests_per_s: float = 0
        self.return_delay_s: Callable[[], float] = lambda: _RETURN_DELAY_S
        self._clock = clock
        self._window_requests = 0
        self._window_start_s = clock.now_s()
        self._stop_callbacks: list[Callable[[], None]] = []
        self._schedule: ShutdownSchedule | None = None
        self._requests: dict[object, str] = {}
        self._attempts: set[anyio.CancelScope] = set()
        self._attempts_cancelled = False

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return len(self._requests)

    @property
    def is_leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.state == State.LEAVING

    def leave(self, schedule: ShutdownSchedule) -> None:
        """Enter the leaving state, which begins a graceful shutdown.

        :param schedule: times of the shutdown.
        """
        self.state = State.LEAVING
        self._schedule = schedule

    def admits(self, deadline_s: float) -> bool:
        """Return whether a new request can be served before the shutdown.

        :param deadline_s: monotonic time by which its response is due.
        """
        if self._schedule is None:
            return True
        return self._schedule.admits(self._clock.now_s(), deadline_s)

    def cancel_attempts(self) -> None:
        """Cancel whatever requests still wait for, now and later."""
        self._attempts_cancelled = True
        for scope in self._attempts:
            scope.cancel()

    def list_requests(self, limit: int) -> tuple[str, ...]:
        """Return identifiers of requests in progress, oldest first.

        :param limit: maximum number of identifiers to return.
        """
        return tuple(itertools.islice(self._requests.values(), limit))

    def on_stop(self, callback: Callable[[], None]) -> None:
        """Register a function that stops a server from accepting."""
        self._stop_callbacks.append(callback)

    def stop(self) -> None:
        """Stop accepting connections, and close those without a request."""
        for callback in self._stop_callbacks:
            callback()

    def update_request_rate(self) -> None:
        """Update the request rate once the current window has passed."""
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._window_start_s
        if elapsed_s >= _RATE_WINDOW_S:
            self.requests_per_s = self._window_requests / elapsed_s
            self._window_requests = 0
            self._window_start_s = now_s

    @contextmanager
    def track_request(self, request_id: str = '') -> Generator[None]:
        """Track a request as in progress.

        :param request_id: its identifier, for logs.
        """
        self._window_requests += 1
        token = object()  # callers may use an identifier twice
        self._requests[token] = request_id
        try:
            yield
        finally:
            self._requests.pop(token)

    @contextmanager
    def track_attempt(self) -> Generator[anyio.CancelScope]:
        """Track an attempt to serve a request, which a shutdown may cancel."""
        with anyio.CancelScope() as scope:
            self._attempts.add(scope)
            if self._attempts_cancelled:
                scope.cancel()
            try:
                yield scope
            finally:
                self._attempts.discard(scope)

    @contextmanager
    def track_server(self) -> Generator[None]:
        """Track a server as running."""
        self.running_servers += 1
        try:
            yield
        finally:
            self.running_servers -= 1
