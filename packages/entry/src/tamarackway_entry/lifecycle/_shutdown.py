"""Graceful shutdown on SIGTERM or SIGINT."""

import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Final

import anyio
from tamarackway_core.shutdown import ShutdownSchedule

from tamarackway_entry.kernel import Clock
from tamarackway_entry.lifecycle._lifecycle import Lifecycle
from tamarackway_entry.lifecycle._signals import receive_signals
from tamarackway_entry.telemetry import component_logger

_CHECK_INTERVAL_S: Final = 0.1
_ADVICE_MARGIN_S: Final = 0.5
_MAX_LOGGED: Final = 20  # requests named in a line
_log = component_logger('lifecycle')


class ShutdownService:
    """Drains this instance on a signal and ends it within its grace period.

    Peers and callers are told first, while requests are still accepted. Then
    new requests are refused until all accepted ones have a response, and the
    connections are closed. Signals that are repeated meanwhile have no effect.

    :param lifecycle: state of the instance.
    :param clock: clocks of the daemon.
    :param notify_peers: sends a heartbeat to all peers.
    :param is_idle: whether all outcomes have been recorded.
    :param grace_s: returns the time in seconds from the signal until the
        process is killed.
    :param advice_lifetime_s: time for which callers may cache discovery
        results.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        clock: Clock,
        notify_peers: Callable[[], Coroutine[Any, Any, None]],
        is_idle: Callable[[], bool],
        grace_s: Callable[[], float],
        advice_lifetime_s: float,
    ) -> None:
        """Create a service that waits for a signal when run."""
        self._lifecycle = lifecycle
        self._clock = clock
        self._notify_peers = notify_peers
        self._is_idle = is_idle
        self._grace_s = grace_s
        self._advice_lifetime_s = advice_lifetime_s

    async def run(self) -> None:
        """Wait for a signal, then shut down."""
        # The receiver stays open, since a signal without one ends the process.
        with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                group.start_soon(self._update_request_rate)
                number = await anext(signals)
                _log.info(
                    'Shutting down after %s: %d requests in progress.',
                    number.name,
                    self._lifecycle.in_progress,
                )
                group.start_soon(_ignore_signals, signals)
                await self._leave()
                group.cancel_scope.cancel()

    async def _update_request_rate(self) -> None:
        while True:
            self._lifecycle.update_request_rate()
            await anyio.sleep(_CHECK_INTERVAL_S)

    async def _leave(self) -> None:
        schedule = ShutdownSchedule(
            self._clock.now_s(),
            self._grace_s(),
            self._advice_lifetime_s + _ADVICE_MARGIN_S,
        )
        self._lifecycle.leave(schedule)
        async with anyio.create_task_group() as group:
            group.start_soon(self._notify_peers)
            await anyio.sleep(schedule.admission_ends_s - self._clock.now_s())
            self._log_step('New requests are refused', schedule)
            if not await self._wait(self._is_drained, schedule.responses_due_s):
                self._log_step('Unfinished requests are cancelled', schedule)
            self._lifecycle.cancel_attempts()
            await self._wait(self._close_servers, schedule.connections_closed_s)
            self._log_step('Drain finished', schedule)
            self._log_cut_requests()
            group.cancel_scope.cancel()

    async def _wait(self, is_done: Callable[[], bool], until_s: float) -> bool:
        """Wait for a condition and return whether it came true in time."""
        while not is_done():
            left_s = until_s - self._clock.now_s()
            if left_s <= 0:
                return False
            await anyio.sleep(min(_CHECK_INTERVAL_S, left_s))
        return True

    def _is_drained(self) -> bool:
        return not self._lifecycle.in_progress and self._is_idle()

    def _close_servers(self) -> bool:
        """Close what may be closed; return whether all servers have ended."""
        self._lifecycle.stop()
        return not self._lifecycle.running_servers and self._is_drained()

    def _log_step(self, step: str, schedule: ShutdownSchedule) -> None:
        _log.info(
            '%s %.1f s after the signal, %d requests in progress, killed '
            'after %.1f s.',
            step,
            self._clock.now_s() - schedule.started_s,
            self._lifecycle.in_progress,
            schedule.grace_s,
        )

    def _log_cut_requests(self) -> None:
        """Name the requests that end without a response."""
        count = self._lifecycle.in_progress
        if count:
            shown = ', '.join(self._lifecycle.list_requests(_MAX_LOGGED))
            _log.warning(
                '%d requests are cut when the process ends: %s.', count, shown
            )


async def _ignore_signals(signals: AsyncIterator[signal.Signals]) -> None:
    async for number in signals:
        _log.info('Ignored %s, the shutdown has begun.', number.name)
