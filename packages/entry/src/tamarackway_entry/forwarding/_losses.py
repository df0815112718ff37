"""Finds out whether a target crashed while it ran a request."""

from collections import deque
from dataclasses import dataclass
from typing import Final

import anyio
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import Candidate

from tamarackway_entry.forwarding._paths import ConnectToTarget, TargetPaths
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger
from tamarackway_entry.upstream import NotSentError

_MAX_PENDING: Final = 64  # further ones replace the oldest
_log = component_logger('targets')


@dataclass(frozen=True, slots=True)
class _PendingCheck:
    candidate: Candidate
    loss: Loss
    lost_s: float


class LossChecker:
    """Reports targets that crashed while they ran a request.

    Such a target accepts no new connection. That alone may also be a failure
    of the path from this instance to all targets, so a loss is reported only
    once another target has responded to a later request.

    :param state: targets and reachability of this instance.
    :param paths: paths to the targets.
    :param clock: clock of the daemon.
    :param connect: opens a connection to a target.
    """

    def __init__(
        self,
        state: SteeringState,
        paths: TargetPaths,
        clock: Clock,
        connect: ConnectToTarget,
    ) -> None:
        """Start without losses."""
        self._state = state
        self._paths = paths
        self._clock = clock
        self._connect = connect
        self._pending: deque[_PendingCheck] = deque(maxlen=_MAX_PENDING)
        self._requested = anyio.Event()
        self._unconfirmed: deque[_PendingCheck] = deque(maxlen=_MAX_PENDING)

    def schedule(self, candidate: Candidate, loss: Loss) -> None:
        """Schedule a check of a target whose connection was lost.

        :param candidate: the target.
        :param loss: loss to report if the target has crashed.
        """
        check = _PendingCheck(candidate, loss, self._clock.now_s())
        self._pending.append(check)
        self._requested.set()

    async def run(self) -> None:
        """Run scheduled checks until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            async with anyio.create_task_group() as group:
                while self._pending:
                    group.start_soon(self._check, self._pending.popleft())

    def record_response(self, target: str, sent_s: float) -> None:
        """Report the losses that the response of another target confirms.

        :param target: name of the target that responded.
        :param sent_s: monotonic time at which it was sent the request.
        """
        for check in tuple(self._unconfirmed):
            if check.lost_s < sent_s and check.loss.target != target:
                self._unconfirmed.remove(check)
                _log.warning(
                    'Target %s probably crashed while running a request.',
                    check.loss.target,
                )
                self._state.quarantine.report(check.loss, self._clock.now_s())

    def discard(self) -> None:
        """Forget all losses, since the path to the targets has failed."""
        self._pending.clear()
        self._unconfirmed.clear()

    async def _check(self, check: _PendingCheck) -> None:
        record = check.candidate.record
        try:
            connection = await self._connect(record)
        except NotSentError as error:
            _log.info(
                'Target %s lost a connection and accepts no other: %s.',
                record.name,
                error,
            )
            check.candidate.stats.record_failure(self._clock.now_s())
            self._paths.record_failure(record)
            if not self._state.reachability.is_cut_off(record.service):
                self._unconfirmed.append(check)
            return
        connection.close()
