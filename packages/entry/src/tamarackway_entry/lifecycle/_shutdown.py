"""Graceful shutdown on SIGTERM or SIGINT."""

import signal
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from tamarackway_entry.lifecycle._lifecycle import Lifecycle
from tamarackway_entry.telemetry import component_logger

_CHECK_INTERVAL_S: Final = 0.1
_ADVICE_MARGIN_S: Final = 0.5
_DRAIN_TIMEOUT_S: Final = 60.0
_log = component_logger('lifecycle')


class ShutdownService:
    """Drains this instance on a signal and ends when it is idle.

    :param lifecycle: state of the instance.
    :param notify_peers: sends a heartbeat to all peers.
    :param is_idle: whether all outcomes have been recorded.
    :param advice_lifetime_s: time for which callers may cache discovery
        results.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        notify_peers: Callable[[], Awaitable[None]],
        is_idle: Callable[[], bool],
        advice_lifetime_s: float,
    ) -> None:
        """Create a service that waits for a signal when run."""
        self._lifecycle = lifecycle
        self._notify_peers = notify_peers
        self._is_idle = is_idle
        self._advice_lifetime_s = advice_lifetime_s

    async def run(self) -> None:
        """Wait for a signal, then shut down."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._update_request_rate)
            with anyio.open_signal_receiver(
                signal.SIGTERM,
                signal.SIGINT,
            ) as signals:
                async for number in signals:
                    self._log_step(f'Shutting down after {number.name}')
                    break
            await self._leave()
            group.cancel_scope.cancel()

    async def _update_request_rate(self) -> None:
        while True:
            self._lifecycle.update_request_rate()
            await anyio.sleep(_CHECK_INTERVAL_S)

    async def _leave(self) -> None:
        self._lifecycle.leave()
        await self._notify_peers()
        await anyio.sleep(self._advice_lifetime_s + _ADVICE_MARGIN_S)
        self._log_step('Waiting for requests in progress')
        await self._drain()
        self._log_step('Closing connections')
        self._lifecycle.stop()
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            while self._lifecycle.running_servers:
                await anyio.sleep(_CHECK_INTERVAL_S)
        await self._drain()
        self._log_step('Drain finished')

    def _log_step(self, step: str) -> None:
        _log.info(
            '%s: %d requests in progress.', step, self._lifecycle.in_progress
        )

    async def _drain(self) -> None:
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            while self._lifecycle.in_progress or not self._is_idle():
                await anyio.sleep(_CHECK_INTERVAL_S)
