"""Sends single requests to single targets."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import anyio
from tamarackway_core.places import Address
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import Candidate, TargetRecord

from tamarackway_entry.forwarding._announcements import AnnouncementRecorder
from tamarackway_entry.forwarding._codec import ResponseMetadata, TargetCodec
from tamarackway_entry.forwarding._connections import TargetConnections
from tamarackway_entry.forwarding._losses import LossChecker
from tamarackway_entry.forwarding._model import ForwardRequest
from tamarackway_entry.forwarding._paths import TargetPaths
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.serving import Caller
from tamarackway_entry.telemetry import component_logger
from tamarackway_entry.upstream import (
    Connection,
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    Response,
    ResponseTooLargeError,
    connect,
)

# Time for a busy target to accept a connection, in addition to round trips.
_CONNECT_MARGIN_S: Final = 0.1
_CONNECT_ROUND_TRIPS: Final = 2
_MAX_IDLE_S: Final = 4.0  # below the shortest idle timeout of targets
# A request that must not run twice cannot be retried if the target closes the
# idle connection just as the request is sent, so the margin is larger.
_MAX_IDLE_AT_MOST_ONCE_S: Final = 2.0
_IDLE_MARGIN_S: Final = 1.0  # below the idle timeout that a target reports
_DOWN_AFTER_FAILURES: Final = 2  # a single failure may be a lost packet
_CALLER_LEFT: Final = 'the caller has left'
_log = component_logger('targets')
_OK: Final = 200
_FIRST_REDIRECT: Final = 300
_SERVER_ERROR: Final = 500


class AttemptOutcome(enum.StrEnum):
    """How an attempt to send a request to a target ended.

    A refused request was sent, but the target did not run it. A lost one was
    sent without a valid response, so that the target may have run it. A
    withdrawn one was not sent, since the target began to leave, wanted no more
    requests or was restarted meanwhile, or since the caller left.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    WITHDRAWN = 'withdrawn'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    :param outcome: how it ended.
    :param response: valid response of the target, if there is one.
    :param metadata: metadata of that response.
    :param error: description of the failure, for logs.
    :param is_invalid: whether the target sent something that is no response.
    """

    outcome: AttemptOutcome
    response: Response | None = None
    metadata: ResponseMetadata | None = None
    error: str = ''
    is_invalid: bool = False

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the request was sent."""
        return self.outcome not in {
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.WITHDRAWN,
        }

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request."""
        return self.was_sent and self.outcome != AttemptOutcome.REFUSED

    @property
    def failed(self) -> bool:
        """Whether the target returned a server error."""
        if self.response is None or self.outcome == AttemptOutcome.REFUSED:
            return False
        return self.response.status >= _SERVER_ERROR


@dataclass(frozen=True, slots=True)
class _TargetPool:
    """Connections to one incarnation of a target."""

    incarnation: int
    address: Address
    connections: TargetConnections

    def belongs_to(self, record: TargetRecord) -> bool:
        """Return whether the connections lead to a target, and may be used."""
        is_same = (self.incarnation, self.address) == (
            record.incarnation,
            record.address,
        )
        return is_same and not self.connections.is_retired


class TargetSender:
    """Sends requests to targets over pooled connections.

    :param state: configuration, targets and statistics of this instance.
    :param codec: encodes requests and decodes responses.
    :param clock: clock of the daemon.
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
        self._pools: dict[str, _TargetPool] = {}
        self._max_idle_s: dict[str, float] = {}
        self._announcements = AnnouncementRecorder(state, clock)
        self._paths = TargetPaths(state, clock, self._connect)
        self._paths.on_cut = self._leave_targets
        self._losses = LossChecker(state, self._paths, clock, self._connect)

    async def send(
        self,
        request: ForwardRequest,
        caller: Caller,
        candidate: Candidate,
        remaining_s: float,
        *,
        at_most_once: bool,
    ) -> AttemptResult:
        """Send a request and return the result of the attempt.

        :param request: the request.
        :param caller: its caller.
        :param candidate: the target.
        :param remaining_s: longest wait for the response in seconds.
        :param at_most_once: whether the request must not run twice.
        """
        candidate.stats.in_flight += 1
        started_s = self._clock.now_s()
        try:
            with anyio.fail_after(remaining_s):
                attempt = await self._exchange(
                    request,
                    caller,
                    candidate,
                    remaining_s,
                    at_most_once=at_most_once,
                )
        except NotSentError as error:
            attempt = AttemptResult(AttemptOutcome.NOT_SENT, error=str(error))
        except (
            ConnectionLostError,
            InvalidResponseError,
            ResponseTooLargeError,
        ) as error:
            attempt = AttemptResult(
                AttemptOutcome.LOST,
                error=str(error),
                is_invalid=isinstance(error, InvalidResponseError),
            )
        except TimeoutError:
            attempt = AttemptResult(
                AttemptOutcome.TIMED_OUT, error='no answer in time'
            )
        finally:
            candidate.stats.in_flight -= 1
        self._update_stats(candidate, attempt, started_s)
        return attempt

    def schedule_check(self, candidate: Candidate, loss: Loss) -> None:
        """Schedule a check whether a target crashed while running a request.

        A target that accepts no new connection counts as crashed.

        :param candidate: the target whose connection was lost.
        :param loss: loss to report if the target has crashed.
        """
        self._losses.schedule(candidate, loss)

    async def run(self) -> None:
        """Run scheduled checks and probe lost paths until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._paths.run)
            group.start_soon(self._losses.run)

    def close_removed(self, names: frozenset[str]) -> None:
        """Close connections to removed targets.

        :param names: names of targets that still exist.
        """
        for name in self._pools.keys() - names:
            self._close_pool(name)

    async def _exchange(
        self,
        request: ForwardRequest,
        caller: Caller,
        candidate: Candidate,
        remaining_s: float,
        *,
        at_most_once: bool,
    ) -> AttemptResult:
        if caller.has_left():
            return AttemptResult(AttemptOutcome.WITHDRAWN, error=_CALLER_LEFT)
        name = candidate.record.name
        connections = self._find_connections(candidate.record)
        limit_s = _MAX_IDLE_AT_MOST_ONCE_S if at_most_once else _MAX_IDLE_S
        max_idle_s = min(limit_s, self._max_idle_s.get(name, limit_s))
        connection = connections.acquire(
            request.request_id, max_idle_s, self._clock.now_s()
        )
        if connection is None:
            connection = await self._connect(candidate.record)
            problem = self._find_obstacle(candidate.record, caller)
            if problem:
                connection.close()
                return AttemptResult(AttemptOutcome.WITHDRAWN, error=problem)
        caller.record_send()
        sent_s = self._clock.now_s()
        try:
            response = await connection.exchange(
                self._codec.encode_request(
                    request, candidate.record, remaining_s
                ),
                lambda received: self._matches_request(
                    received, request, connection
                ),
                request.body,
            )
        except BaseException:
            connection.close()
            raise
        attempt = self._evaluate_response(candidate, response, sent_s)
        if attempt.outcome == AttemptOutcome.REFUSED:
            connections.record_refusal(request.request_id)
        connections.release(connection, self._clock.now_s())
        return attempt

    def _find_connections(self, record: TargetRecord) -> TargetConnections:
        """Return the connections to a target, closing those to an earlier one.

        :param record: the target.
        """
        known = self._pools.get(record.name)
        if known is None or not known.belongs_to(record):
            self._close_pool(record.name)
            known = _TargetPool(
                record.incarnation, record.address, TargetConnections()
            )
            self._pools[record.name] = known
        return known.connections

    def _close_pool(self, name: str) -> None:
        known = self._pools.pop(name, None)
        if known is not None:
            known.connections.retire()

    def _leave_targets(self, targets: Sequence[TargetRecord]) -> None:
        """Close idle connections to targets that cannot be reached."""
        for record in targets:
            self._close_pool(record.name)

    def _find_obstacle(self, record: TargetRecord, caller: Caller) -> str:
        """Return why a request is not sent any more, or an empty text."""
        if caller.has_left():
            return _CALLER_LEFT
        if not self._is_current(record):
            return 'the target is leaving, paused or restarted'
        return ''

    def _is_current(self, record: TargetRecord) -> bool:
        """Return whether a target still accepts requests as it was chosen."""
        catalogue = self._state.catalogue
        known = catalogue.find(record.name)
        if known is None or not catalogue.is_usable(record.name):
            return False
        if self._state.selector.pauses.is_paused(
            record.name, record.incarnation, self._clock.now_s()
        ):
            return False
        is_same_process = known.incarnation == record.incarnation
        is_same_server = known.address == record.address
        return (
            is_same_process
            and is_same_server
            and known.service == record.service
        )

    def _matches_request(
        self,
        response: Response,
        request: ForwardRequest,
        connection: Connection,
    ) -> bool:
        matches = self._codec.matches_request(response, request.request_id)
        # A response that does not identify its request is accepted only on a
        # new connection: on a reused one it may belong to an earlier request.
        return connection.is_first if matches is None else matches

    def _evaluate_response(
        self, candidate: Candidate, response: Response, sent_s: float
    ) -> AttemptResult:
        metadata = self._codec.decode_metadata(response)
        if metadata.max_idle_s is not None:
            max_idle_s = max(metadata.max_idle_s - _IDLE_MARGIN_S, 0)
            self._max_idle_s[candidate.record.name] = max_idle_s
        if metadata.load is not None:
            candidate.stats.record_load(metadata.load, self._clock.now_s())
        if not metadata.wrong_target:
            self._announcements.record(candidate.record, metadata, sent_s)
        if metadata.not_run or metadata.wrong_target:
            return AttemptResult(
                AttemptOutcome.REFUSED, response, metadata, 'not run'
            )
        # A success that no target produced proves nothing about the request.
        success = _OK <= response.status < _FIRST_REDIRECT
        if success and not metadata.signed:
            return AttemptResult(
                AttemptOutcome.LOST,
                error='the answer is not signed',
                is_invalid=True,
            )
        return AttemptResult(AttemptOutcome.ANSWERED, response, metadata)

    async def _connect(self, record: TargetRecord) -> Connection:
        started_s = self._clock.now_s()
        round_trip_s = self._state.selector.round_trip_s(record.place.region)
        timeout_s = _CONNECT_ROUND_TRIPS * round_trip_s + _CONNECT_MARGIN_S
        try:
            with anyio.fail_after(timeout_s):
                connection = await connect(record.address)
        except TimeoutError as error:
            raise NotSentError(f'{record.address} does not accept') from error
        elapsed_s = self._clock.now_s() - started_s
        self._state.selector.observe_round_trip(record.place.region, elapsed_s)
        return connection

    def _update_stats(
        self,
        candidate: Candidate,
        attempt: AttemptResult,
        started_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        stats = candidate.stats
        if attempt.response is not None:
            self._record_response(candidate, attempt, started_s)
        if attempt.outcome == AttemptOutcome.WITHDRAWN:
            return
        if attempt.outcome == AttemptOutcome.REFUSED:
            stats.record_shed()
            if attempt.metadata is not None and attempt.metadata.wrong_target:
                stats.record_failure(now_s, responded=True)
            return
        if attempt.outcome == AttemptOutcome.ANSWERED:
            round_trip_s = self._state.selector.round_trip_s(
                candidate.record.place.region,
            )
            run_s = max(now_s - started_s - round_trip_s, 0)
            self._record_run_time(candidate, run_s, now_s)
            return
        self._close_pool(candidate.record.name)
        self._record_failure(candidate, attempt, now_s)
        is_lost = attempt.outcome == AttemptOutcome.LOST
        if attempt.outcome == AttemptOutcome.NOT_SENT or (
            is_lost and not attempt.is_invalid
        ):
            self._paths.record_failure(candidate.record)

    def _record_response(
        self, candidate: Candidate, attempt: AttemptResult, started_s: float
    ) -> None:
        self._paths.record_response(candidate.record, started_s)
        if attempt.outcome == AttemptOutcome.ANSWERED:
            self._losses.record_answer(candidate.record, started_s)
        if candidate.stats.failures < _DOWN_AFTER_FAILURES:
            return
        # The target may have restarted unnoticed, so it is treated as cold
        # until it registers with its own state.
        record = candidate.record
        cold_s = self._state.policy(record.service).cold_s
        _log.info(
            'Target %s is reachable again, treated as cold for %.1f s.',
            record.name,
            cold_s,
        )
        now_s = self._clock.now_s()
        self._state.catalogue.mark_cold(record.name, now_s, cold_s)

    def _record_failure(
        self, candidate: Candidate, attempt: AttemptResult, now_s: float
    ) -> None:
        if attempt.outcome == AttemptOutcome.NOT_SENT:
            ejection_s = candidate.stats.record_failure(now_s)
        elif attempt.is_invalid:
            ejection_s = candidate.stats.record_invalid_response(now_s)
        else:
            return
        if ejection_s:
            _log.warning(
                'Target %s is ejected for %.1f s: %s.',
                candidate.record.name,
                ejection_s,
                attempt.error,
            )

    def _record_run_time(
        self, candidate: Candidate, run_s: float, now_s: float
    ) -> None:
        service = candidate.record.service
        run_times = self._state.run_times
        # The statistics hold slowness relative to the usual run time.
        candidate.stats.record_success(
            run_s / run_times.nearest_average_s(service, run_s), now_s
        )
        if not candidate.cold:
            run_times.observe(service, run_s)
