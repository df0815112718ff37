"""Finds out whether a target crashed while it ran a request."""

import enum
from collections import deque
from dataclasses import dataclass
from typing import Final

import anyio
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import Candidate, TargetRecord

from tamarackway_entry.forwarding._paths import ConnectToTarget, TargetPaths
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger
from tamarackway_entry.upstream import NotSentError

_MAX_CHECKS: Final = 64  # further ones replace the oldest
_MAX_AGE_S: Final = (
    600.0  # a target that is down for longer may have been moved
)
_INTERVAL_S: Final = 1.0
_log = component_logger('targets')


class _Finding(enum.Enum):
    """What is known of a target whose connection was lost."""

    UNCHECKED = enum.auto()
    DOWN = enum.auto()  # accepted no connection since
    ACCEPTING = enum.auto()  # accepts connections again, maybe restarted


@dataclass(slots=True, eq=False)
class _Check:
    """Search for the cause of a lost connection.

    :param candidate: the target.
    :param loss: loss to report if the target has crashed.
    :param lost_s: monotonic time at which the connection was lost.
    :param finding: what is known of the target.
    :param is_path_sound: whether this instance has reached another target
        since the last connection to this one failed.
    """

    candidate: Candidate
    loss: Loss
    lost_s: float
    finding: _Finding = _Finding.UNCHECKED
    is_path_sound: bool = False


class LossChecker:
    """Reports targets that crashed while they ran a request.

    Such a target accepts no new connection. That may also be a failure of the
    path from this instance to some or all targets, so the loss stays undecided
    until another target is reached, by a request or a connection to it. If the
    target still accepts no connection then, or a later incarnation has taken
    its place, it has crashed.

    :param state: targets of this instance, and its quarantine.
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
        self._checks: deque[_Check] = deque(maxlen=_MAX_CHECKS)
        self._wake = anyio.Event()
        paths.on_reached = self._record_reached

    def schedule(self, candidate: Candidate, loss: Loss) -> None:
        """Schedule a check of a target whose connection was lost.

        :param candidate: the target.
        :param loss: loss to report if the target has crashed.
        """
        self._checks.append(_Check(candidate, loss, self._clock.now_s()))
        self._wake.set()

    def record_answer(self, record: TargetRecord, sent_s: float) -> None:
        """Record that a target answered a request, so that it has not crashed.

        :param record: the target.
        :param sent_s: monotonic time at which it was sent the request.
        """
        for check in tuple(self._checks):
            known = check.candidate.record
            is_same = (known.name, known.incarnation) == (
                record.name,
                record.incarnation,
            )
            if is_same and sent_s > check.lost_s:
                self._checks.remove(check)

    async def run(self) -> None:
        """Run scheduled checks until cancelled."""
        while True:
            if self._checks:
                with anyio.move_on_after(_INTERVAL_S):
                    await self._wake.wait()
            else:
                await self._wake.wait()
            self._wake = anyio.Event()
            await self._run_checks()
            await self._reach_others()

    async def _run_checks(self) -> None:
        self._decide_by_records()
        due = [check for check in self._checks if _is_due(check)]
        async with anyio.create_task_group() as group:
            for check in due:
                group.start_soon(self._check, check)

    async def _reach_others(self) -> None:
        """Connect to targets that show whether the path is sound.

        In quiet hours no request would tell so for minutes.
        """
        down = [
            check.candidate.record
            for check in self._checks
            if check.finding == _Finding.DOWN and not check.is_path_sound
        ]
        if down:
            names = frozenset(record.name for record in down)
            await self._paths.probe_others(down[0].service, names)

    def _decide_by_records(self) -> None:
        """Decide the checks of targets that were replaced or removed."""
        oldest_s = self._clock.now_s() - _MAX_AGE_S
        for check in tuple(self._checks):
            record = check.candidate.record
            if self._is_replaced(record):
                self._report(check, 'a later incarnation has registered')
            elif check.lost_s < oldest_s:
                self._dismiss(check, 'no other target was reached in time')
            elif (
                check.finding == _Finding.ACCEPTING
                and self._state.catalogue.find(record.name) is None
            ):
                self._dismiss(check, 'it accepts connections, and has left')

    async def _check(self, check: _Check) -> None:
        is_first = check.finding == _Finding.UNCHECKED
        # Only what was reached before this connection tells how it failed.
        was_path_sound = check.is_path_sound
        check.is_path_sound = False
        record = check.candidate.record
        try:
            connection = await self._connect(record)
        except NotSentError as error:
            check.finding = _Finding.DOWN
            if is_first:
                self._record_failure(check, error)
            if was_path_sound:
                self._report(check, str(error))
            return
        connection.close()
        check.finding = _Finding.ACCEPTING
        if is_first:
            self._dismiss(check, 'it accepts connections')

    def _record_failure(self, check: _Check, error: NotSentError) -> None:
        record = check.candidate.record
        _log.info(
            'Target %s lost a connection and accepts no other: %s.',
            record.name,
            error,
        )
        check.candidate.stats.record_failure(self._clock.now_s())
        self._paths.record_failure(record)

    def _record_reached(self, record: TargetRecord, sent_s: float) -> None:
        for check in self._checks:
            if sent_s > check.lost_s and record.name != check.loss.target:
                check.is_path_sound = True
                if _is_due(check):
                    self._wake.set()

    def _is_replaced(self, record: TargetRecord) -> bool:
        """Return whether a later process has taken the place of a target."""
        catalogue = self._state.catalogue
        return any(
            other.incarnation > record.incarnation
            and (other.name == record.name or other.address == record.address)
            for other in map(catalogue.find, catalogue.names)
            if other is not None
        )

    def _report(self, check: _Check, evidence: str) -> None:
        self._remove(check)
        _log.warning(
            'Target %s crashed while running request %s: %s.',
            check.loss.target,
            check.loss.fingerprint,
            evidence,
        )
        now_s = self._clock.now_s()
        self._state.quarantine.report(
            check.loss, now_s, max(now_s - check.lost_s, 0)
        )

    def _dismiss(self, check: _Check, reason: str) -> None:
        self._remove(check)
        _log.info(
            'Target %s is not known to have crashed on request %s: %s.',
            check.loss.target,
            check.loss.fingerprint,
            reason,
        )

    def _remove(self, check: _Check) -> None:
        # A full queue may have dropped it meanwhile.
        if check in self._checks:
            self._checks.remove(check)


def _is_due(check: _Check) -> bool:
    """Return whether a connection to the target would tell anything new."""
    if check.finding == _Finding.UNCHECKED:
        return True
    return check.finding == _Finding.DOWN and check.is_path_sound
