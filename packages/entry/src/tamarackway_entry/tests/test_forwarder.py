"""Tests of forwarding and retries with targets that fail in different ways."""

import math
from collections.abc import Callable, Sequence
from dataclasses import replace

import anyio
import pytest
from tamarackway_core.places import Address, Place
from tamarackway_core.shutdown import ShutdownSchedule
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
from tamarackway_entry.forwarding._sender import AttemptOutcome, AttemptResult
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.serving import Caller
from tamarackway_entry.tests.test_following import ManualClock
from tamarackway_entry.upstream import Response

OK = AttemptResult(AttemptOutcome.ANSWERED, Response(200, (), b'ok'))
FAILED = AttemptResult(AttemptOutcome.ANSWERED, Response(500, (), b'no'))
REFUSED = AttemptResult(AttemptOutcome.REFUSED, Response(503, (), b''))
NOT_SENT = AttemptResult(AttemptOutcome.NOT_SENT)
WITHDRAWN = AttemptResult(AttemptOutcome.WITHDRAWN)
LOST = AttemptResult(AttemptOutcome.LOST)
TIMED_OUT = AttemptResult(AttemptOutcome.TIMED_OUT)
BOUNDS = SteeringBounds(retry_extra=1000)


class FakeSender:
    """Returns the given attempt results in order."""

    def __init__(self, attempts: Sequence[AttemptResult]) -> None:
        self.attempts = list(attempts)
        self.names: list[str] = []
        self.scheduled_checks = 0

    async def send(
        self,
        request: ForwardRequest,
        caller: Caller,
        candidate: Candidate,
        remaining_s: float,
        *,
        at_most_once: bool,
    ) -> AttemptResult:
        self.names.append(candidate.record.name)
        return self.attempts.pop(0)

    def schedule_check(self, candidate: Candidate, loss: object) -> None:
        self.scheduled_checks += 1


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
        state.mark_targets_loaded()
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


def serve_request(
    state: SteeringState,
    attempts: Sequence[AttemptResult],
    request: ForwardRequest | None = None,
    *,
    lifecycle: Lifecycle | None = None,
    disconnected: bool = False,
) -> tuple[ForwardResponse, FakeSender]:
    sender = FakeSender(attempts)
    records: list[tuple[ForwardResponse, RequestContext | None]] = []
    forwarder = Forwarder(
        state,
        sender,  # type: ignore[arg-type]
        lifecycle or Lifecycle(ManualClock()),
        ManualClock(),
        lambda _request, response, context: records.append((response, context)),
    )

    async def serve() -> ForwardResponse:
        caller = Caller()
        if disconnected:
            caller.mark_left()
        return await forwarder.serve(request or make_request(), caller)

    response = anyio.run(serve)
    assert len(records) == 1
    return response, sender


@pytest.mark.parametrize(
    ('attempts', 'idempotent', 'status', 'origin', 'sends'),
    [
        ([OK], True, 200, Origin.TARGET, 1),
        ([OK], False, 200, Origin.TARGET, 1),
        ([REFUSED, OK], False, 200, Origin.TARGET, 2),
        ([NOT_SENT, OK], False, 200, Origin.TARGET, 2),
        ([WITHDRAWN, OK], False, 200, Origin.TARGET, 2),
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
def test_request_is_retried_only_if_it_may_run_again(
    attempts: list[AttemptResult],
    status: int,
    origin: Origin,
    sends: int,
    *,
    idempotent: bool,
) -> None:
    response, sender = serve_request(
        make_state(idempotent=idempotent), attempts
    )
    assert (response.status, response.origin) == (status, origin)
    assert len(sender.names) == sends
    assert len(set(sender.names)) == sends  # no target twice


def test_refusal_has_a_retry_delay() -> None:
    response, _ = serve_request(make_state(targets=0), [])
    assert response.status == 503
    assert response.retry_after_s > 0


def test_retry_budget_limits_retries() -> None:
    state = make_state()
    # The share of each instance in the additional retries is below one.
    state.selector.instances = 100_000
    response, sender = serve_request(state, [REFUSED, OK])
    assert response.status == 503
    assert len(sender.names) == 1


@pytest.mark.parametrize('idempotent', [True, False])
def test_nothing_is_sent_after_the_caller_disconnects(
    *,
    idempotent: bool,
) -> None:
    _, sender = serve_request(
        make_state(idempotent=idempotent), [OK], disconnected=True
    )
    assert not sender.names


# Guards against retries for callers that left during the attempt before, and
# against a retry budget that such callers use up.
@pytest.mark.parametrize('attempt', [REFUSED, LOST, FAILED])
def test_nothing_is_retried_once_the_caller_has_left(
    attempt: AttemptResult,
) -> None:
    state = make_state()
    sender = FakeSender([attempt, OK])
    forwarder = Forwarder(
        state,
        sender,  # type: ignore[arg-type]
        Lifecycle(ManualClock()),
        ManualClock(),
        lambda _request, _response, _context: None,
    )
    unused = state.retry_budget('s')
    taken: list[float] = []
    unused.take = lambda *_arguments: taken.append(1) or True  # type: ignore
    caller = Caller(lambda: bool(sender.names))
    anyio.run(forwarder.serve, make_request(), caller)
    assert len(sender.names) == 1
    assert not taken


@pytest.mark.parametrize(
    ('change', 'status'),
    [
        (lambda request: replace(request, path='/b/x'), 404),
        (lambda request: replace(request, host='other.example'), 404),
    ],
)
def test_requests_without_a_route_are_not_found(
    change: Callable[[ForwardRequest], ForwardRequest],
    status: int,
) -> None:
    response, sender = serve_request(make_state(), [], change(make_request()))
    assert response.status == status
    assert not sender.names


def test_older_configuration_is_ignored() -> None:
    state = make_state()
    assert state.configuration is not None
    assert state.configure(replace(state.configuration, version=3))
    assert not state.configure(Configuration(2))
    assert not state.configure(Configuration(3))
    assert state.routes.find('h.example', '/a/x') is not None


def test_changed_bounds_apply_and_keep_counted_retries() -> None:
    state = make_state()
    budget = state.retry_budget('s')
    taken = sum(budget.take(1, 100) for _ in range(2000))
    state.change_bounds(replace(BOUNDS, retry_extra=2 * taken))
    assert 0 < sum(budget.take(1, 100) for _ in range(4000)) < 2 * taken


class SlowSender(FakeSender):
    """Takes 0.3 s for an attempt and records whether it was cancelled."""

    cancelled = False

    async def send(
        self,
        request: ForwardRequest,
        caller: Caller,
        candidate: Candidate,
        remaining_s: float,
        *,
        at_most_once: bool,
    ) -> AttemptResult:
        self.names.append(candidate.record.name)
        try:
            await anyio.sleep(0.3)
        except anyio.get_cancelled_exc_class():
            self.cancelled = True
            raise
        return OK


@pytest.mark.parametrize('idempotent', [True, False])
def test_only_idempotent_requests_are_cancelled_on_disconnect(
    *,
    idempotent: bool,
) -> None:
    sender = SlowSender([])
    forwarder = Forwarder(
        make_state(idempotent=idempotent),
        sender,  # type: ignore[arg-type]
        Lifecycle(ManualClock()),
        ManualClock(),
        lambda _request, _response, _context: None,
    )

    async def serve() -> None:
        caller = Caller()
        async with anyio.create_task_group() as group:
            group.start_soon(forwarder.serve, make_request(), caller)
            await anyio.sleep(0.05)
            caller.mark_left()

    anyio.run(serve)
    assert len(sender.names) == 1
    assert sender.cancelled is idempotent


def test_instance_without_configuration_refuses_requests() -> None:
    response, _ = serve_request(make_state(configured=False), [])
    assert (response.status, response.origin) == (503, Origin.REFUSAL)


def test_new_instance_waits_for_its_configuration() -> None:
    state = make_state(configured=False)
    sender = FakeSender([OK])
    forwarder = Forwarder(
        state,
        sender,  # type: ignore[arg-type]
        Lifecycle(ManualClock()),
        ManualClock(),
        lambda _request, _response, _context: None,
    )
    configuration = make_state().configuration
    assert configuration is not None

    async def configure() -> None:
        await anyio.sleep(0.1)
        state.configure(configuration)
        state.mark_targets_loaded()

    responses: list[ForwardResponse] = []

    async def serve() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(configure)
            response = await forwarder.serve(make_request(), Caller())
            responses.append(response)

    anyio.run(serve)
    assert responses[0].status == 200


def test_request_that_crashed_two_targets_is_quarantined() -> None:
    state = make_state(idempotent=False)
    contexts: list[RequestContext] = []
    forwarder = Forwarder(
        state,
        FakeSender([LOST]),  # type: ignore[arg-type]
        Lifecycle(ManualClock()),
        ManualClock(),
        lambda _request, _response, context: contexts.append(context),  # type: ignore[arg-type]
    )
    record = state.catalogue.find('t0')
    assert record is not None

    async def serve() -> ForwardResponse:
        return await forwarder.serve(make_request(), Caller())

    anyio.run(serve)
    for name in ('t0', 't1'):
        candidate = Candidate(
            replace(record, name=name),
            state.target_stats.find(name, 1, 100),
            cost_s=0,
            warm=False,
            cold=False,
            load=0,
            rank=0,
        )
        state.quarantine.report(
            forwarder.describe_loss(contexts[0], candidate), 100
        )
    response, sender = serve_request(state, [])
    assert (response.status, response.origin) == (503, Origin.REFUSAL)
    assert not sender.names


# Guards against requests held, or sent all the same, when every target has
# reached the rate limit that it set.
@pytest.mark.parametrize(
    ('attempts', 'status', 'origin'),
    [
        ([], 503, Origin.REFUSAL),
        ([REFUSED], 503, Origin.REFUSAL),
        ([LOST], 502, Origin.FAILURE),
    ],
)
def test_request_beyond_all_rate_limits_is_answered_at_once(
    attempts: list[AttemptResult], status: int, origin: Origin
) -> None:
    state = make_state(targets=2)
    limiter = state.selector.rate_limiter
    limiter.divide_among('i1', ['i1'])
    for name in ('t0', 't1'):
        limiter.observe(name, 1, 0.5, 0)
    # The buckets of the targets that may still be tried are filled.
    for name in ('t0', 't1')[: len(attempts)]:
        limiter.observe(name, 1, math.inf, 0)
    response, sender = serve_request(state, attempts)
    assert (response.status, response.origin) == (status, origin)
    assert len(sender.names) == len(attempts)
    if origin == Origin.REFUSAL:
        assert response.retry_after_s >= 0.2


# Guards against requests that a leaving instance passes on although it may end
# before their response.
@pytest.mark.parametrize(
    ('timeout_s', 'status', 'sends'),
    [(0.5, 200, 1), (2.0, 503, 0)],
)
def test_leaving_instance_refuses_what_it_may_not_finish(
    timeout_s: float, status: int, sends: int
) -> None:
    clock = ManualClock()
    lifecycle = Lifecycle(clock)
    lifecycle.leave(ShutdownSchedule(clock.now_s(), 1, 1))
    request = replace(
        make_request(), received_s=clock.now_s(), timeout_s=timeout_s
    )
    response, sender = serve_request(
        make_state(), [OK], request, lifecycle=lifecycle
    )
    assert response.status == status
    assert len(sender.names) == sends
    if response.origin == Origin.REFUSAL:
        assert response.retry_after_s > 0


# Guards against requests that still wait for the first configuration when the
# process ends, so that their connections close without a response.
@pytest.mark.parametrize('is_leaving', [False, True])
def test_request_does_not_wait_for_configuration_during_shutdown(
    *, is_leaving: bool
) -> None:
    clock = ManualClock()
    lifecycle = Lifecycle(clock)
    forwarder = Forwarder(
        make_state(configured=False),
        FakeSender([]),  # type: ignore[arg-type]
        lifecycle,
        clock,
        lambda _request, _response, _context: None,
    )
    responses: list[ForwardResponse] = []

    async def serve() -> None:
        async with anyio.create_task_group() as group:
            if is_leaving:
                lifecycle.leave(ShutdownSchedule(clock.now_s(), 6, 4))

            async def request() -> None:
                responses.append(
                    await forwarder.serve(make_request(), Caller())
                )

            group.start_soon(request)
            await anyio.sleep(0.05)
            if not is_leaving:
                lifecycle.cancel_attempts()
            with anyio.move_on_after(0.1):
                while not responses:
                    await anyio.sleep(0.01)
            assert responses

    anyio.run(serve)
    assert (responses[0].status, responses[0].origin) == (503, Origin.REFUSAL)
    assert responses[0].retry_after_s > 0


# Guards against requests that are refused everywhere as deadly because targets
# sent endless or invalid responses to them.
@pytest.mark.parametrize(('is_invalid', 'checks'), [(False, 1), (True, 0)])
def test_target_is_checked_for_a_crash_after_a_lost_connection(
    *, is_invalid: bool, checks: int
) -> None:
    lost = replace(LOST, is_invalid=is_invalid)
    _, sender = serve_request(make_state(idempotent=False), [lost])
    assert sender.scheduled_checks == checks
