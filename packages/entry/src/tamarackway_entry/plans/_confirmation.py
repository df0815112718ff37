"""Whether the plan in force is known to be the newest."""

import anyio

from tamarackway_entry.kernel import Clock, PauseDetector
from tamarackway_entry.telemetry import component_logger

_log = component_logger('plans')


class Confirmation:
    """Remembers the last word on the plan, and doubts it after a pause.

    :param pauses: counts pauses of the process.
    :param clock: clocks of the daemon.

    Only the answer to a question asked after the last pause counts:
    heartbeats and pushes may have waited unread during it.
    """

    def __init__(self, pauses: PauseDetector, clock: Clock) -> None:
        """Start without word on the plan."""
        self._pauses = pauses
        self._clock = clock
        self._asked_at: int | None = None
        self._known_s: float | None = None
        self._known = anyio.Event()
        self._doubted = anyio.Event()

    @property
    def is_known(self) -> bool:
        """Whether the plan was confirmed since the last pause."""
        return self._asked_at == self.mark()

    @property
    def age_s(self) -> float | None:
        """Time since the last word in seconds, or None without one."""
        if self._known_s is None:
            return None
        return self._clock.now_s() - self._known_s

    def mark(self) -> int:
        """Return a mark for a question that is asked now."""
        return self._pauses.count()

    def confirm(self, mark: int) -> None:
        """Take an answer, unless the process was paused since the question.

        :param mark: mark of the question.
        """
        if mark != self.mark():
            return
        self._asked_at = mark
        self._doubted = anyio.Event()
        self._known.set()
        self.refresh()

    def refresh(self) -> None:
        """Note that a peer has the same plan, unless the plan is in doubt."""
        if self.is_known:
            self._known_s = self._clock.now_s()

    def doubt(self) -> None:
        """Note that the plan may be old."""
        if self._known.is_set():
            _log.warning('The process was paused; the plan may be old.')
            self._known = anyio.Event()
            self._doubted.set()

    async def wait_known(self, timeout_s: float) -> None:
        """Wait until the plan is confirmed.

        :param timeout_s: longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._known.wait()

    async def wait_doubted(self, timeout_s: float) -> None:
        """Wait until the plan is in doubt.

        :param timeout_s: longest wait in seconds.
        """
        with anyio.move_on_after(timeout_s):
            await self._doubted.wait()
