"""Sends one request to one target."""

import enum
from collections import deque
from dataclasses import dataclass
from typing import Final

import anyio
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import Candidate

from tamarackway_entry.forwarding._codec import ResponseMetadata, TargetCodec
from tamarackway_entry.forwarding._model import ForwardRequest
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger
from tamarackway_entry.upstream import (
    Connection,
    ConnectionLostError,
    IdleConnectionPool,
    InvalidResponseError,
    NotSentError,
    Response,
    connect,
)

_CONNECT_MARGIN_S: Final = 0.1  # for a busy target, beside the round trips
_CONNECT_TRIPS: Final = 2
_MAX_IDLE_S: Final = 4.0  # under the shortest idle timeout of targets
_MAX_IDLE_ONCE_S: Final = 2.0  # a request that runs once may not be eaten
_IDLE_MARGIN_S: Final = 1.0
_DOWN_FAILURES: Final = 2  # one alone may be a lost packet
_MAX_SUSPECTS: Final = 64
_log = component_logger('targets')
_OK: Final = 200
_FIRST_REDIRECT: Final = 300
_SERVER_ERROR: Final = 500


class Verdict(enum.StrEnum):
    """How an attempt at a target ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class Attempt:
    """The end of an attempt.

    :param verdict: how it ended.
    :param answer: answer of the target, if there is one.
    :param reply: what the target said beside it.
    :param problem: what went wrong, for logs.
    """

    verdict: Verdict
    answer: Response | None = None
    reply: ResponseMetadata | None = None
    problem: str = ''

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request."""
        return self.verdict not in {Verdict.REFUSED, Verdict.NOT_SENT}

    @property
    def failed(self) -> bool:
        """Whether the target itself failed the request."""
        if self.answer is None or self.verdict == Verdict.REFUSED:
            return False
        return self.answer.status >= _SERVER_ERROR


@dataclass(frozen=True, slots=True)
class _Suspect:
    chosen: Candidate
    loss: Loss


class TargetSender:
    """Keeps connections to targets and sends requests over them.

    :param state: what this instance knows.
    :param codec: how requests look to targets.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        state: SteeringState,
        codec: TargetCodec,
        clock: Clock,
    ) -> None:
        """Start without connections."""
        self._state = state
        self._codec = codec
        self._clock = clock
        self._pools: dict[str, IdleConnectionPool] = {}
        self._max_idle_s: dict[str, float] = {}
        self._suspects: deque[_Suspect] = deque(maxlen=_MAX_SUSPECTS)
        self._suspected = anyio.Event()

    async def send(
        self,
        request: ForwardRequest,
        chosen: Candidate,
        left_s: float,
        *,
        once: bool,
    ) -> Attempt:
        """Send a request and return how that ended.

        :param request: the request.
        :param chosen: the target.
        :param left_s: longest wait for the answer.
        :param once: whether the request must not run twice.
        """
        chosen.stats.in_flight += 1
        started_s = self._clock.now_s()
        try:
            with anyio.fail_after(left_s):
                attempt = await self._exchange(
                    request, chosen, left_s, once=once
                )
        except NotSentError as error:
            attempt = Attempt(Verdict.NOT_SENT, problem=str(error))
        except (ConnectionLostError, InvalidResponseError) as error:
            attempt = Attempt(Verdict.LOST, problem=str(error))
        except TimeoutError:
            attempt = Attempt(Verdict.TIMED_OUT, problem='no answer in time')
        finally:
            chosen.stats.in_flight -= 1
        self._learn(chosen, attempt, started_s)
        return attempt

    def suspect(self, chosen: Candidate, loss: Loss) -> None:
        """Find out whether a target died of a request.

        :param chosen: the target, whose connection ended during the request.
        :param loss: what to report if it does not accept a new connection.
        """
        self._suspects.append(_Suspect(chosen, loss))
        self._suspected.set()

    async def run(self) -> None:
        """Connect to suspected targets until cancelled."""
        while True:
            await self._suspected.wait()
            self._suspected = anyio.Event()
            async with anyio.create_task_group() as group:
                while self._suspects:
                    group.start_soon(self._check, self._suspects.popleft())

    def close_removed(self, names: frozenset[str]) -> None:
        """Close connections to targets that are gone.

        :param names: targets that still exist.
        """
        for name in self._pools.keys() - names:
            self._pools.pop(name).close()

    async def _check(self, suspect: _Suspect) -> None:
        chosen = suspect.chosen
        now_s = self._clock.now_s()
        if chosen.stats.is_ejected(now_s):
            self._state.quarantine.report(suspect.loss, now_s)
            return
        try:
            connection = await self._connect(chosen)
        except NotSentError as error:
            _log.warning('Target %s is lost: %s.', chosen.record.name, error)
            now_s = self._clock.now_s()
            chosen.stats.record_failure(now_s)
            self._state.quarantine.report(suspect.loss, now_s)
            return
        connection.close()

    async def _exchange(
        self,
        request: ForwardRequest,
        chosen: Candidate,
        left_s: float,
        *,
        once: bool,
    ) -> Attempt:
        name = chosen.record.name
        pool = self._pools.setdefault(name, IdleConnectionPool())
        limit_s = _MAX_IDLE_ONCE_S if once else _MAX_IDLE_S
        max_idle_s = min(limit_s, self._max_idle_s.get(name, limit_s))
        connection = pool.acquire(max_idle_s, self._clock.now_s())
        if connection is None:
            connection = await self._connect(chosen)
        try:
            answer = await connection.exchange(
                self._codec.encode_request(request, chosen.record, left_s),
                lambda found: self._accept(found, request, connection),
            )
        except BaseException:
            connection.close()
            raise
        pool.release(connection, self._clock.now_s())
        return self._judge(chosen, answer)

    def _accept(
        self,
        answer: Response,
        request: ForwardRequest,
        connection: Connection,
    ) -> bool:
        belongs = self._codec.matches_request(answer, request.request_id)
        # Only on a new connection can no earlier answer be under way.
        return connection.is_first if belongs is None else belongs

    def _judge(self, chosen: Candidate, answer: Response) -> Attempt:
        reply = self._codec.decode_metadata(answer)
        if reply.max_idle_s is not None:
            keep_s = max(reply.max_idle_s - _IDLE_MARGIN_S, 0)
            self._max_idle_s[chosen.record.name] = keep_s
        if reply.load is not None:
            chosen.stats.record_load(reply.load, self._clock.now_s())
        if reply.not_run or reply.wrong_target:
            return Attempt(Verdict.REFUSED, answer, reply, 'not run')
        success = _OK <= answer.status < _FIRST_REDIRECT
        if success and not reply.signed:
            return Attempt(Verdict.LOST, problem='the answer is not signed')
        return Attempt(Verdict.ANSWERED, answer, reply)

    async def _connect(self, chosen: Candidate) -> Connection:
        record = chosen.record
        started_s = self._clock.now_s()
        distance_s = self._state.selector.round_trip_s(record.place.region)
        limit_s = _CONNECT_TRIPS * distance_s + _CONNECT_MARGIN_S
        try:
            with anyio.fail_after(limit_s):
                connection = await connect(record.address)
        except TimeoutError as error:
            raise NotSentError(f'{record.address} does not accept') from error
        elapsed_s = self._clock.now_s() - started_s
        self._state.selector.observe_round_trip(record.place.region, elapsed_s)
        return connection

    def _learn(
        self,
        chosen: Candidate,
        attempt: Attempt,
        started_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        observed = chosen.stats
        if attempt.answer is not None and observed.failures >= _DOWN_FAILURES:
            self._chill(chosen, now_s)
        if attempt.verdict == Verdict.REFUSED:
            observed.record_shed()
            if attempt.reply is not None and attempt.reply.wrong_target:
                observed.record_failure(now_s)
            return
        if attempt.verdict == Verdict.ANSWERED:
            distance_s = self._state.selector.round_trip_s(
                chosen.record.place.region,
            )
            run_s = max(now_s - started_s - distance_s, 0)
            self._learn_run(chosen, run_s, now_s)
            return
        self._pools.pop(chosen.record.name, IdleConnectionPool()).close()
        if attempt.verdict == Verdict.NOT_SENT:
            wait_s = observed.record_failure(now_s)
            _log.warning(
                'Target %s is out for %.1f s: %s.',
                chosen.record.name,
                wait_s,
                attempt.problem,
            )

    def _chill(self, chosen: Candidate, now_s: float) -> None:
        """Count a target that was down as cold until it says otherwise."""
        record = chosen.record
        cold_s = self._state.policy(record.service).cold_s
        _log.info('Target %s is back, cold for %.1f s.', record.name, cold_s)
        self._state.catalogue.mark_cold(record.name, now_s, cold_s)

    def _learn_run(self, chosen: Candidate, run_s: float, now_s: float) -> None:
        service = chosen.record.service
        work = self._state.work
        chosen.stats.record_success(
            run_s / work.nearest_average_s(service, run_s), now_s
        )
        if not chosen.cold:
            work.observe(service, run_s)
