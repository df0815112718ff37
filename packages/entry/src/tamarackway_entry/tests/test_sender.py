"""Tests of target statistics and attempt results, without a network."""

import dataclasses
import math
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from tamarackway_core.places import Address, Place
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import (
    Candidate,
    Configuration,
    ServicePolicy,
    TargetRecord,
)

from tamarackway_entry.forwarding import (
    ForwardRequest,
    ResponseMetadata,
    SteeringBounds,
    SteeringState,
    TargetSender,
)
from tamarackway_entry.forwarding import _sender as sender_module
from tamarackway_entry.forwarding._sender import AttemptOutcome, AttemptResult
from tamarackway_entry.serving import Caller
from tamarackway_entry.tests.test_following import ManualClock
from tamarackway_entry.tests.test_forwarder import make_request
from tamarackway_entry.upstream import (
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    Response,
    ResponseTooLargeError,
)

RECORD = TargetRecord(
    name='t',
    incarnation=1,
    service='s',
    place=Place('east', 'east-a'),
    address=Address('127.0.0.1', 80),
    slots=3,
)
OTHER = dataclasses.replace(
    RECORD, name='other', address=Address('127.0.0.1', 81)
)
COMPLETE = Response(200, (), b'ok')
LOSS = Loss('digest', 't', 1)


class FakeConnection:
    """Ends each exchange with the same response or error."""

    def __init__(self, outcome: Response | Exception) -> None:
        self.outcome = outcome
        self.sent: list[bytes] = []
        self.idle_since_s: float = 0
        self.is_open = True
        self.reusable = True
        self.is_first = True

    async def exchange(
        self,
        request: bytes,
        matches: Callable[[Response], bool],
        body: bytes,
    ) -> Response:
        self.sent.append(request + body)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def close(self) -> None:
        self.is_open = False


class FakeCodec:
    """Returns the given metadata for every response."""

    def __init__(self, metadata: ResponseMetadata) -> None:
        self.metadata = metadata

    def encode_request(
        self,
        request: ForwardRequest,
        target: TargetRecord,
        timeout_s: float,
    ) -> bytes:
        return b'request'

    def matches_request(
        self, response: Response, request_id: str
    ) -> bool | None:
        return None

    def decode_metadata(self, response: Response) -> ResponseMetadata:
        return self.metadata


class Environment:
    """A sender with one fake target, and the state of its instance."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        self.state = SteeringState('east', SteeringBounds())
        policy = ServicePolicy('s', cold_s=3, cold_per_s=5)
        self.state.configure(Configuration(1, services={'s': policy}))
        self.state.catalogue.put(RECORD, self.clock.now_s())
        self.state.catalogue.put(OTHER, self.clock.now_s())
        self.record = RECORD
        self.caller = Caller()
        self.outcome: Response | Exception = COMPLETE
        self.is_reachable = True
        self.down: set[Address] = set()
        self.on_connect: Callable[[], None] = lambda: None
        self.metadata = ResponseMetadata(
            not_run=False, wrong_target=False, signed=True
        )
        monkeypatch.setattr(sender_module, 'connect', self.connect)
        self.sender = TargetSender(
            self.state,
            FakeCodec(self.metadata),
            self.clock,
        )

    async def connect(self, address: Address) -> FakeConnection:
        if not self.is_reachable or address in self.down:
            raise NotSentError('refused')
        self.on_connect()
        self.connection = FakeConnection(self.outcome)
        return self.connection

    async def send_to_other(self) -> AttemptResult:
        """Send a request to the other target, which responds."""
        self.outcome = COMPLETE
        return await self.sender.send(
            make_request(),
            self.caller,
            self.build_candidate(OTHER),
            1,
            at_most_once=True,
        )

    async def run_checks(self, time_s: float = 0.1) -> None:
        """Let the sender check lost targets and paths for a while."""
        with anyio.move_on_after(time_s):
            await self.sender.run()

    def has_reported_loss(self) -> bool:
        now_s = self.clock.now_s()
        return bool(self.state.quarantine.list_recent(now_s))

    def build_candidate(self, record: TargetRecord | None = None) -> Candidate:
        record = record or self.record
        stats = self.state.target_stats.find(
            record.name, record.incarnation, self.clock.now_s()
        )
        return Candidate(
            record,
            stats,
            cost_s=0,
            warm=False,
            cold=False,
            load=0,
            rank=0,
        )

    def send(self, body: bytes = b'') -> AttemptResult:
        async def run() -> AttemptResult:
            request = dataclasses.replace(make_request(), body=body)
            return await self.sender.send(
                request,
                self.caller,
                self.build_candidate(),
                1,
                at_most_once=True,
            )

        return anyio.run(run)


@pytest.fixture
def environment(monkeypatch: pytest.MonkeyPatch) -> Environment:
    return Environment(monkeypatch)


@pytest.mark.parametrize(
    ('failures', 'cold'),
    [(0, False), (1, False), (2, True), (4, True)],
)
def test_target_is_cold_after_repeated_connection_failures(
    environment: Environment,
    failures: int,
    *,
    cold: bool,
) -> None:
    """Targets of a failure domain may restart together, with empty caches.

    The rate limit of cold targets must hold even before they register again.
    """
    environment.is_reachable = False
    for _ in range(failures):
        assert environment.send().outcome == AttemptOutcome.NOT_SENT
        environment.clock.moment_s += 5
    environment.is_reachable = True
    assert environment.send().outcome == AttemptOutcome.ANSWERED
    now_s = environment.clock.now_s()
    assert environment.state.catalogue.is_cold('t', now_s) is cold
    assert not environment.state.catalogue.is_cold('t', now_s + 3.1)


# Guards against requests that are refused everywhere as deadly because their
# target was ejected for another reason.
@pytest.mark.parametrize('ejected', [False, True])
def test_only_target_that_accepts_no_connection_is_reported_lost(
    environment: Environment, *, ejected: bool
) -> None:
    if ejected:
        stats = environment.build_candidate().stats
        stats.record_failure(environment.clock.now_s())
    environment.outcome = ConnectionLostError('reset')

    async def run(is_down: bool) -> bool:
        environment.down = {RECORD.address} if is_down else set()
        environment.sender.schedule_check(environment.build_candidate(), LOSS)
        await environment.run_checks()
        environment.clock.moment_s += 0.01
        await environment.send_to_other()
        await environment.run_checks()
        return environment.has_reported_loss()

    assert environment.send().outcome == AttemptOutcome.LOST
    assert not anyio.run(run, False)
    assert anyio.run(run, True)
    assert environment.build_candidate().stats.is_ejected(
        environment.clock.now_s()
    )


# Guards against requests that are refused everywhere as deadly, because an
# instance that is cut off from all targets took them for crashed.
@pytest.mark.parametrize('confirmed', [False, True])
def test_loss_is_reported_only_if_another_target_responds(
    environment: Environment, *, confirmed: bool
) -> None:
    async def run() -> None:
        environment.sender.schedule_check(environment.build_candidate(), LOSS)
        environment.is_reachable = False
        await environment.run_checks()
        environment.clock.moment_s += 1
        environment.is_reachable = confirmed
        environment.down = {RECORD.address}
        await environment.send_to_other()
        await environment.run_checks()

    anyio.run(run)
    assert environment.has_reported_loss() is confirmed
    suspected = environment.state.reachability.list_suspected()
    assert bool(suspected) is not confirmed


# Guards against requests that crash every target of a service each time they
# come, since the losses of all of them were taken for a cut and forgotten, and
# against cuts that are taken for crashes once they end.
@pytest.mark.parametrize(
    ('after', 'reported'),
    [
        ('others are back', True),
        ('replaced under a new name', True),
        ('restarted under its name', True),
        ('the path is back', False),
        ('the path is back, and it answers', False),
        ('accepts and has left', False),
    ],
)
def test_loss_of_all_targets_is_decided_once_the_service_is_back(
    environment: Environment, after: str, *, reported: bool
) -> None:
    catalogue = environment.state.catalogue

    async def run() -> None:
        environment.is_reachable = False
        environment.sender.schedule_check(environment.build_candidate(), LOSS)
        for record in (RECORD, OTHER):
            await environment.sender.send(
                make_request(),
                environment.caller,
                environment.build_candidate(record),
                1,
                at_most_once=True,
            )
        await environment.run_checks(0.3)
        assert environment.state.reachability.list_cut_off() == ('s',)
        assert not environment.has_reported_loss()
        environment.clock.moment_s += 2
        environment.is_reachable = True
        now_s = environment.clock.now_s()
        if after == 'others are back':
            environment.down = {RECORD.address}
        elif after == 'replaced under a new name':
            started = dataclasses.replace(RECORD, name='new', incarnation=2)
            catalogue.put(started, now_s)
        elif after == 'restarted under its name':
            catalogue.put(dataclasses.replace(RECORD, incarnation=2), now_s)
        elif after == 'accepts and has left':
            catalogue.remove('t')
        await environment.send_to_other()
        if after == 'the path is back, and it answers':
            await environment.sender.send(
                make_request(),
                environment.caller,
                environment.build_candidate(),
                1,
                at_most_once=True,
            )
            environment.clock.moment_s += 0.01
            environment.down = {RECORD.address}
            await environment.send_to_other()
        await environment.run_checks(1.2)

    anyio.run(run)
    assert environment.has_reported_loss() is reported


# Guards against a request that crashes targets and is not refused until another
# one is answered, which takes long in quiet hours.
@pytest.mark.parametrize(
    ('service', 'is_down', 'reported'),
    [('s', False, True), ('u', False, True), ('s', True, False)],
)
def test_loss_is_decided_without_other_requests(
    environment: Environment, service: str, *, is_down: bool, reported: bool
) -> None:
    catalogue = environment.state.catalogue
    catalogue.remove('other')
    other = dataclasses.replace(OTHER, service=service)
    catalogue.put(other, environment.clock.now_s())
    policies = {name: ServicePolicy(name) for name in ('s', 'u')}
    environment.state.configure(Configuration(2, services=policies))
    environment.down = {RECORD.address}
    if is_down:
        environment.down.add(OTHER.address)

    async def run() -> None:
        environment.sender.schedule_check(environment.build_candidate(), LOSS)
        async with anyio.create_task_group() as group:
            group.start_soon(environment.run_checks, 1.5)
            for _ in range(3):
                await anyio.sleep(0.3)
                environment.clock.moment_s += 0.3

    anyio.run(run)
    assert environment.has_reported_loss() is reported
    assert environment.state.catalogue.is_usable('t')


# Guards against targets that get few requests, as if they were cold, or none
# after the path to all of them was cut for a while.
@pytest.mark.parametrize('failed_before', [False, True])
def test_targets_are_used_at_once_after_a_cut(
    environment: Environment, *, failed_before: bool
) -> None:
    environment.is_reachable = False
    if failed_before:
        environment.send()
        environment.clock.moment_s += 2.5
        environment.is_reachable = True
        anyio.run(environment.send_to_other)
        environment.is_reachable = False
        environment.clock.moment_s += 2.5
    for _ in range(2):
        environment.send()
        anyio.run(environment.send_to_other)
        environment.clock.moment_s += 2.5
    assert environment.state.reachability.list_suspected() == ('s',)

    async def probe() -> None:
        with anyio.move_on_after(0.3):
            await vars(environment.sender)['_paths'].run()

    anyio.run(probe)
    assert environment.state.reachability.list_cut_off() == ('s',)
    environment.is_reachable = True
    environment.outcome = COMPLETE
    anyio.run(probe)
    now_s = environment.clock.now_s()
    assert not environment.state.reachability.list_cut_off()
    failures = environment.build_candidate().stats.failures
    assert bool(failures) is failed_before
    assert not environment.build_candidate(OTHER).stats.is_ejected(now_s)
    assert not environment.state.catalogue.is_cold('t', now_s)


# Guards against detours, and connections to all targets that are closed, since
# some full targets reset connections.
def test_targets_that_reset_connections_are_no_cut(
    environment: Environment,
) -> None:
    environment.outcome = ConnectionLostError('reset')

    async def send_and_probe() -> None:
        for record in (RECORD, OTHER):
            await environment.sender.send(
                make_request(),
                environment.caller,
                environment.build_candidate(record),
                1,
                at_most_once=True,
            )
        assert environment.state.reachability.list_suspected() == ('s',)
        environment.clock.moment_s += 0.01
        with anyio.move_on_after(0.1):
            await environment.sender.run()

    anyio.run(send_and_probe)
    assert not environment.state.reachability.list_suspected()
    assert not environment.state.reachability.list_cut_off()


# Guards against requests to a target that began to leave after it was chosen,
# while the connection to it was opened.
@pytest.mark.parametrize('change', ['leaving', 'removed', 'evacuated'])
def test_request_is_withdrawn_if_target_leaves_during_connect(
    environment: Environment, change: str
) -> None:
    now_s = environment.clock.now_s()
    catalogue = environment.state.catalogue

    def leave() -> None:
        if change == 'leaving':
            leaving = dataclasses.replace(RECORD, leaving=True, sequence=1)
            catalogue.put(leaving, now_s)
        elif change == 'removed':
            catalogue.remove('t')
        else:
            catalogue.evacuate(['east-a'], now_s, 0)

    environment.on_connect = leave
    attempt = environment.send()
    assert attempt.outcome == AttemptOutcome.WITHDRAWN
    assert not attempt.was_sent
    assert not attempt.may_have_run
    assert not environment.build_candidate().stats.is_ejected(now_s)


# Guards against requests to the earlier address of a target that was restarted
# or moved to another service while the connection was opened.
@pytest.mark.parametrize(
    ('change', 'withdrawn'),
    [
        ({'incarnation': 2}, True),
        ({'address': Address('127.0.0.1', 81)}, True),
        ({'service': 'other'}, True),
        ({}, False),
    ],
)
def test_request_is_withdrawn_if_target_changes_during_connect(
    environment: Environment, change: dict[str, Any], *, withdrawn: bool
) -> None:
    def publish() -> None:
        record = dataclasses.replace(RECORD, sequence=1, **change)
        catalogue = environment.state.catalogue
        catalogue.put(record, environment.clock.now_s())

    environment.on_connect = publish
    attempt = environment.send()
    assert (attempt.outcome == AttemptOutcome.WITHDRAWN) is withdrawn


# Guards against requests to the earlier process of a restarted target over a
# connection that was kept to it.
@pytest.mark.parametrize(
    ('change', 'connects'),
    [
        ({'incarnation': 2}, 2),
        ({'address': Address('127.0.0.1', 81)}, 2),
        ({'sequence': 2}, 1),
    ],
)
def test_connection_is_kept_for_one_incarnation_and_address(
    environment: Environment, change: dict[str, Any], connects: int
) -> None:
    addresses: list[int] = []
    environment.on_connect = lambda: addresses.append(len(addresses))
    environment.send()
    environment.record = dataclasses.replace(RECORD, **change)
    environment.state.catalogue.put(
        environment.record, environment.clock.now_s()
    )
    assert environment.send().outcome == AttemptOutcome.ANSWERED
    assert len(addresses) == connects


@pytest.mark.parametrize(
    ('not_run', 'wrong_target', 'usable'),
    [(False, False, False), (True, False, False), (True, True, True)],
)
def test_departure_in_a_response_is_recorded(
    environment: Environment,
    *,
    not_run: bool,
    wrong_target: bool,
    usable: bool,
) -> None:
    metadata = ResponseMetadata(
        not_run=not_run,
        wrong_target=wrong_target,
        signed=True,
        is_leaving=True,
    )
    environment.sender = TargetSender(
        environment.state, FakeCodec(metadata), environment.clock
    )
    environment.send()
    catalogue = environment.state.catalogue
    assert catalogue.is_usable('t') is usable
    assert (
        bool(catalogue.departures.list_recent(environment.clock.now_s()))
        is not usable
    )


# Guards against requests to a target that has named a time for which it wants
# none, also if they were planned before.
@pytest.mark.parametrize('wrong_target', [False, True])
def test_time_without_requests_is_recorded(
    environment: Environment, *, wrong_target: bool
) -> None:
    metadata = ResponseMetadata(
        not_run=True, wrong_target=wrong_target, signed=False, pause_s=3
    )
    environment.sender = TargetSender(
        environment.state, FakeCodec(metadata), environment.clock
    )
    environment.send()
    pauses = environment.state.selector.pauses
    now_s = environment.clock.now_s()
    assert pauses.is_paused('t', 1, now_s) is not wrong_target


def test_request_is_withdrawn_if_target_is_paused_during_connect(
    environment: Environment,
) -> None:
    pauses = environment.state.selector.pauses

    def pause() -> None:
        pauses.observe('t', 1, 3, environment.clock.now_s())

    environment.on_connect = pause
    assert environment.send().outcome == AttemptOutcome.WITHDRAWN
    environment.on_connect = lambda: None
    environment.clock.moment_s += 3.1
    assert environment.send().outcome == AttemptOutcome.ANSWERED


def test_body_is_sent_after_the_head(environment: Environment) -> None:
    environment.send(b'body')
    assert environment.connection.sent == [b'requestbody']


def test_in_flight_count_returns_to_zero(environment: Environment) -> None:
    for outcome in (COMPLETE, ConnectionLostError('reset')):
        environment.outcome = outcome
        environment.send()
        assert environment.build_candidate().stats.in_flight == 0


# Guards against targets that answer without end and keep their share of the
# requests. A response that is only too large says nothing against its target.
@pytest.mark.parametrize(
    ('outcome', 'ejected'),
    [
        (InvalidResponseError('the answer is too long'), True),
        (ResponseTooLargeError('the answer is too large'), False),
        (ConnectionLostError('reset'), False),
        (COMPLETE, False),
    ],
)
def test_target_is_ejected_after_invalid_responses(
    environment: Environment,
    outcome: Response | Exception,
    *,
    ejected: bool,
) -> None:
    environment.outcome = outcome
    for _ in range(2):
        attempt = environment.send()
        assert attempt.may_have_run
    now_s = environment.clock.now_s()
    stats = environment.build_candidate().stats
    assert stats.is_ejected(now_s) is ejected


def test_unsigned_success_counts_as_lost(environment: Environment) -> None:
    environment.sender = TargetSender(
        environment.state,
        FakeCodec(
            ResponseMetadata(not_run=False, wrong_target=False, signed=False)
        ),
        environment.clock,
    )
    assert environment.send().outcome == AttemptOutcome.LOST


@pytest.mark.parametrize(
    'metadata',
    [
        ResponseMetadata(not_run=True, wrong_target=False, signed=False),
        ResponseMetadata(not_run=False, wrong_target=True, signed=False),
    ],
)
def test_rejected_request_cannot_have_run(
    environment: Environment, metadata: ResponseMetadata
) -> None:
    environment.sender = TargetSender(
        environment.state, FakeCodec(metadata), environment.clock
    )
    attempt = environment.send()
    assert attempt.outcome == AttemptOutcome.REFUSED
    assert not attempt.may_have_run


@pytest.mark.parametrize(
    ('named_per_s', 'wrong_target', 'known_per_s'),
    [
        ([4.5], False, 4.5),
        ([4.5, 2.0], False, 2.0),
        ([4.5, None], False, 4.5),
        ([4.5, math.inf], False, math.inf),
        ([4.5], True, math.inf),
    ],
)
def test_rate_limit_in_a_response_is_recorded(
    environment: Environment,
    named_per_s: list[float | None],
    known_per_s: float,
    *,
    wrong_target: bool,
) -> None:
    for total_per_s in named_per_s:
        metadata = ResponseMetadata(
            not_run=wrong_target,
            wrong_target=wrong_target,
            signed=True,
            total_per_s=total_per_s,
        )
        environment.sender = TargetSender(
            environment.state, FakeCodec(metadata), environment.clock
        )
        environment.send()
    limiter = environment.state.selector.rate_limiter
    assert limiter.total_per_s('t', 1) == known_per_s


# Guards against requests that reach a target after their callers have left:
# while they waited for the connection, or before they were sent on a kept one.
@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('leaves_while_connecting', [False, True])
def test_request_is_not_sent_once_its_caller_has_left(
    environment: Environment, *, is_kept: bool, leaves_while_connecting: bool
) -> None:
    ended: list[bool] = []
    if is_kept:
        assert environment.send().outcome == AttemptOutcome.ANSWERED
    sent = list(environment.connection.sent) if is_kept else []
    environment.caller = Caller(lambda: bool(ended))
    if leaves_while_connecting:
        environment.on_connect = lambda: ended.append(True)
    else:
        ended.append(True)
    if is_kept and leaves_while_connecting:
        environment.clock.moment_s += 60  # the kept connection is too old
    attempt = environment.send()
    assert attempt.outcome == AttemptOutcome.WITHDRAWN
    assert not attempt.may_have_run
    assert not environment.caller.late_sends
    if leaves_while_connecting:
        assert not environment.connection.sent
        assert not environment.connection.is_open
    elif is_kept:
        assert environment.connection.sent == sent
        assert environment.connection.is_open
