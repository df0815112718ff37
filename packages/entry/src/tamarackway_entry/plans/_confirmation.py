"""Tracks whether the plan in force is confirmed as the newest one."""

import anyio

from tamarackway_entry.kernel import Clock, PauseDetector
from tamarackway_entry.telemetry import component_logger

_log = component_logger('plans')


class Confirmation:
    """Confirmation of the plan, which a pause of the process invalidates.

    :param pauses: counts pauses of the process.
    :param clock: clocks of the daemon.

    The number of pauses is the epoch of a confirmation. Only the reply to a
    request that was sent after the last pause confirms the plan: heartbeats
    and pushes may have been buffered during the pause and be out of date.
    """

    def __init__(self, pauses: PauseDetector, clock: Clock) -> None:
        """Start unconfirmed."""
        self._pauses = pauses
        self._clock = clock
        self._confirmed_epoch: int | None = None
        self._confirmed_at_s: float | None = None
        self._confirmed = anyio.Event()
        self._invalidated = anyio.Event()

    @property
    def is_confirmed(self) -> bool:
        """Whether the plan has been confirmed since the last pause."""
        return self._confirmed_epoch == self.epoch()

    @property
    def age_s(self) -> float | None:
        """Seconds since the last confirmation or refresh, or None."""
        if self._confirmed_at_s is None:
            return None
        return self._clock.now_s() - self._confirmed_at_s

    def epoch(self) -> int:
        """Return the epoch of a request that is sent now."""
        return self._pauses.count()

    def confirm(self, epoch: int) -> None:
        """Confirm the plan, unless the process was paused after the request.

        :param epoch: epoch of the request whose reply confirms the plan.
        """
        if epoch != self.epoch():
            return
        self._confirmed_epoch = epoch
        self._invalidated = anyio.Event()
        self._confirmed.set()
        self.refresh()

    def refresh(self) -> None:
        """Reset the age of the confirmation, unless a pause ended it.

        Called when a heartbeat reports the same plan or a plan is adopted.
        """
        if self.is_confirmed:
            self._confirmed_at_s = self._clock.now_s()

    def invalidate(self) -> None:
        """Record that a pause has ended the confirmation."""
        if self._confirmed.is_set():
            _log.warning('The process was paused; the plan may be out of date.')
            self._confirmed = anyio.Event()
            self._invalidated.set()

    async def wait_confirmed(self, timeout_s: float) -> None:
        """Wait until the plan is confirmed.

        :param timeout_s: longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._confirmed.wait()

    async def wait_invalidated(self, timeout_s: float) -> None:
        """Wait until :meth:`invalidate` is called on a confirmed plan.

        :param timeout_s: longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._invalidated.wait()
