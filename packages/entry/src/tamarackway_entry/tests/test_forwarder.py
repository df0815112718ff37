"""The path of a request with targets that fail in every way."""

from collections.abc import Callable, Sequence
from dataclasses import replace

import anyio
import pytest
from tamarackway_core.places import Address, Place
from tamarackway_core.steering import (
    Candidate,
    Configuration,
    Route,
    ServiceShare,
    TargetRecord,
)

from tamarackway_entry.forwarding import (
    Forwarder,
    ForwardRequest,
    ForwardResponse,
    Origin,
    RequestContext,
    SteeringBounds,
    SteeringState,
)
from tamarackway_entry.forwarding._sender import Attempt, Verdict
from tamarackway_entry.tests.test_following import ManualClock
from tamarackway_entry.upstream import Response

OK = Attempt(Verdict.ANSWERED, Response(200, (), b'ok'))
FAILED = Attempt(Verdict.ANSWERED, Response(500, (), b'no'))
REFUSED = Attempt(Verdict.REFUSED, Response(503, (), b''))
NOT_SENT = Attempt(Verdict.NOT_SENT)
LOST = Attempt(Verdict.LOST)
TIMED_OUT = Attempt(Verdict.TIMED_OUT)
BOUNDS = SteeringBounds(retry_extra=1000)


class FakeSender:
    """Gives one attempt after the other."""

    def __init__(self, attempts: Sequence[Attempt]) -> None:
        self.attempts = list(attempts)
        self.names: list[str] = []
        self.suspects = 0

    async def send(
        self,
        request: ForwardRequest,
        chosen: Candidate,
        left_s: float,
        *,
        once: bool,
    ) -> Attempt:
        self.names.append(chosen.record.name)
        return self.attempts.pop(0)

    def suspect(self, chosen: Candidate, loss: object) -> None:
        self.suspects += 1


def make_state(
    *,
    idempotent: bool = True,
    max_attempts: int = 2,
    targets: int = 4,
    configured: bool = True,
) -> SteeringState:
    state = SteeringState('east', BOUNDS)
    route = Route(
        'r',
        'h.example',
        '/a/',
        (ServiceShare('s', 1),),
        idempotent=idempotent,
        max_attempts=max_attempts,
        timeout_s=1,
    )
    for number in range(targets):
        record = TargetRecord(
            name=f't{number}',
            incarnation=1,
            service='s',
            place=Place('east', 'east-a'),
            address=Address('127.0.0.1', 80),
            slots=3,
        )
        state.catalogue.put(record, 100)
    if configured:
        state.configure(Configuration(1, (route,)))
        state.load_targets()
    return state


def make_request(path: str = '/a/x') -> ForwardRequest:
    return ForwardRequest(
        request_id='r1',
        host='h.example',
        method='POST',
        path=path,
        path_and_query=path.encode(),
        headers=(),
        body=b'',
        affinity_key='k',
        received_s=100,
        timeout_s=2,
    )


def run(
    state: SteeringState,
    attempts: Sequence[Attempt],
    request: ForwardRequest | None = None,
    *,
    gone: bool = False,
) -> tuple[ForwardResponse, FakeSender]:
    sender = FakeSender(attempts)
    records: list[tuple[ForwardResponse, RequestContext | None]] = []
    forwarder = Forwarder(
        state,
        sender,  # type: ignore[arg-type]
        ManualClock(),
        lambda _request, answer, context: records.append((answer, context)),
    )

    async def serve() -> ForwardResponse:
        event = anyio.Event()
        if gone:
            event.set()
        return await forwarder.serve(request or make_request(), event)

    answer = anyio.run(serve)
    assert len(records) == 1
    return answer, sender


@pytest.mark.parametrize(
    ('attempts', 'idempotent', 'status', 'origin', 'sends'),
    [
        ([OK], True, 200, Origin.TARGET, 1),
        ([OK], False, 200, Origin.TARGET, 1),
        ([REFUSED, OK], False, 200, Origin.TARGET, 2),
        ([NOT_SENT, OK], False, 200, Origin.TARGET, 2),
        ([LOST, OK], True, 200, Origin.TARGET, 2),
        ([FAILED, OK], True, 200, Origin.TARGET, 2),
        ([LOST], False, 502, Origin.FAILURE, 1),
        ([FAILED], False, 500, Origin.TARGET, 1),
        ([TIMED_OUT], False, 502, Origin.FAILURE, 1),
        ([REFUSED, LOST], False, 502, Origin.FAILURE, 2),
        ([REFUSED, REFUSED], False, 503, Origin.REFUSAL, 2),
        ([REFUSED, REFUSED], True, 503, Origin.REFUSAL, 2),
        ([LOST, REFUSED], True, 502, Origin.FAILURE, 2),
        ([FAILED, LOST], True, 500, Origin.TARGET, 2),
        ([FAILED, REFUSED], True, 500, Origin.TARGET, 2),
        ([FAILED, TIMED_OUT], True, 500, Origin.TARGET, 2),
        ([FAILED, *[NOT_SENT] * 3], True, 500, Origin.TARGET, 4),
        ([NOT_SENT] * 4, False, 503, Origin.REFUSAL, 4),
    ],
)
def test_a_request_is_offered_again_only_if_it_may_run_again(
    attempts: list[Attempt],
    status: int,
    origin: Origin,
    sends: int,
    *,
    idempotent: bool,
) -> None:
    answer, sender = run(make_state(idempotent=idempotent), attempts)
    assert (answer.status, answer.origin) == (status, origin)
    assert len(sender.names) == sends
    assert len(set(sender.names)) == sends


def test_a_refusal_tells_when_to_come_back() -> None:
    answer, _ = run(make_state(targets=0), [])
    assert answer.status == 503
    assert answer.retry_after_s > 0


def test_the_budget_of_repeats_binds() -> None:
    state = make_state()
    state.selector.instances = 100_000
    answer, sender = run(state, [REFUSED, OK])
    assert answer.status == 503
    assert len(sender.names) == 1


@pytest.mark.parametrize('idempotent', [True, False])
def test_nothing_is_sent_for_a_caller_that_has_left(
    *,
    idempotent: bool,
) -> None:
    _, sender = run(make_state(idempotent=idempotent), [OK], gone=True)
    assert not sender.names


@pytest.mark.parametrize(
    ('change', 'status'),
    [
        (lambda request: replace(request, path='/b/x'), 404),
        (lambda request: replace(request, host='other.example'), 404),
    ],
)
def test_only_routes_of_the_configuration_are_served(
    change: Callable[[ForwardRequest], ForwardRequest],
    status: int,
) -> None:
    answer, sender = run(make_state(), [], change(make_request()))
    assert answer.status == status
    assert not sender.names


def test_an_older_configuration_is_passed_over() -> None:
    state = make_state()
    assert state.configuration is not None
    assert state.configure(replace(state.configuration, version=3))
    assert not state.configure(Configuration(2))
    assert not state.configure(Configuration(3))
    assert state.routes.find('h.example', '/a/x') is not None


def test_changed_bounds_hold_for_what_was_counted_before() -> None:
    state = make_state()
    budget = state.budget('s')
    taken = sum(budget.take(1, 100) for _ in range(2000))
    state.change_bounds(replace(BOUNDS, retry_extra=2 * taken))
    assert 0 < sum(budget.take(1, 100) for _ in range(4000)) < 2 * taken


class LongSender(FakeSender):
    """Never answers, and tells whether its attempt was stopped."""

    stopped = False

    async def send(
        self,
        request: ForwardRequest,
        chosen: Candidate,
        left_s: float,
        *,
        once: bool,
    ) -> Attempt:
        self.names.append(chosen.record.name)
        try:
            await anyio.sleep(0.3)
        except anyio.get_cancelled_exc_class():
            self.stopped = True
            raise
        return OK


@pytest.mark.parametrize('idempotent', [True, False])
def test_only_what_may_run_again_is_stopped_once_its_caller_leaves(
    *,
    idempotent: bool,
) -> None:
    sender = LongSender([])
    forwarder = Forwarder(
        make_state(idempotent=idempotent),
        sender,  # type: ignore[arg-type]
        ManualClock(),
        lambda _request, _answer, _context: None,
    )

    async def serve() -> None:
        gone = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(forwarder.serve, make_request(), gone)
            await anyio.sleep(0.05)
            gone.set()

    anyio.run(serve)
    assert len(sender.names) == 1
    assert sender.stopped is idempotent


def test_an_instance_without_a_configuration_refuses_truthfully() -> None:
    answer, _ = run(make_state(configured=False), [])
    assert (answer.status, answer.origin) == (503, Origin.REFUSAL)


def test_a_fresh_instance_waits_for_its_configuration() -> None:
    state = make_state(configured=False)
    sender = FakeSender([OK])
    forwarder = Forwarder(
        state,
        sender,  # type: ignore[arg-type]
        ManualClock(),
        lambda _request, _answer, _context: None,
    )
    known = make_state().configuration
    assert known is not None

    async def learn() -> None:
        await anyio.sleep(0.1)
        state.configure(known)
        state.load_targets()

    answers: list[ForwardResponse] = []

    async def serve() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(learn)
            found = await forwarder.serve(make_request(), anyio.Event())
            answers.append(found)

    anyio.run(serve)
    assert answers[0].status == 200


def test_a_request_that_kills_targets_is_refused_from_then_on() -> None:
    state = make_state(idempotent=False)
    passages: list[RequestContext] = []
    forwarder = Forwarder(
        state,
        FakeSender([LOST]),  # type: ignore[arg-type]
        ManualClock(),
        lambda _request, _answer, context: passages.append(context),  # type: ignore[arg-type]
    )
    record = state.catalogue.find('t0')
    assert record is not None

    async def serve() -> ForwardResponse:
        return await forwarder.serve(make_request(), anyio.Event())

    anyio.run(serve)
    for name in ('t0', 't1'):
        chosen = Candidate(
            replace(record, name=name),
            state.observations.find(name, 1, 100),
            cost_s=0,
            warm=False,
            cold=False,
            load=0,
            rank=0,
        )
        state.quarantine.report(
            forwarder.describe_loss(passages[0], chosen), 100
        )
    answer, sender = run(state, [])
    assert (answer.status, answer.origin) == (503, Origin.REFUSAL)
    assert not sender.names
