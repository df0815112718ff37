"""Graceful shutdown on SIGTERM or SIGINT."""

import signal
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from tamarackway_entry.lifecycle._lifecycle import Lifecycle
from tamarackway_entry.telemetry import component_logger

_TICK_S: Final = 0.1
_MARGIN_S: Final = 0.5
_LONGEST_DRAIN_S: Final = 60.0
_log = component_logger('lifecycle')


class ShutdownService:
    """Leaves when told to, and ends once nothing is in progress.

    :param lifecycle: state of the instance.
    :param tell_peers: sends a heartbeat to all peers at once.
    :param is_idle: whether nothing is left to be recorded.
    :param advice_lifetime_s: time that callers may cache advice.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        tell_peers: Callable[[], Awaitable[None]],
        is_idle: Callable[[], bool],
        advice_lifetime_s: float,
    ) -> None:
        """Remember the parts."""
        self._lifecycle = lifecycle
        self._tell_peers = tell_peers
        self._is_idle = is_idle
        self._advice_lifetime_s = advice_lifetime_s

    async def run(self) -> None:
        """Wait for a signal, then shut down."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick)
            with anyio.open_signal_receiver(
                signal.SIGTERM,
                signal.SIGINT,
            ) as signals:
                async for number in signals:
                    _log.info('Leaving after %s.', number.name)
                    break
            await self._leave()
            group.cancel_scope.cancel()

    async def _tick(self) -> None:
        while True:
            self._lifecycle.tick()
            await anyio.sleep(_TICK_S)

    async def _leave(self) -> None:
        self._lifecycle.leave()
        await self._tell_peers()
        await anyio.sleep(self._advice_lifetime_s + _MARGIN_S)
        await self._drain()
        self._lifecycle.stop()
        with anyio.move_on_after(_LONGEST_DRAIN_S):
            while self._lifecycle.servers:
                await anyio.sleep(_TICK_S)
        await self._drain()
        _log.info('Nothing is in progress any more.')

    async def _drain(self) -> None:
        with anyio.move_on_after(_LONGEST_DRAIN_S):
            while self._lifecycle.in_progress or not self._is_idle():
                await anyio.sleep(_TICK_S)
