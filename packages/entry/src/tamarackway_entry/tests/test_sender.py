"""What an instance learns of targets from attempts, without any network."""

from collections.abc import Callable

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
from tamarackway_entry.forwarding._sender import Attempt, Verdict
from tamarackway_entry.tests.test_following import ManualClock
from tamarackway_entry.tests.test_forwarder import make_request
from tamarackway_entry.upstream import (
    ConnectionLostError,
    NotSentError,
    Response,
)

RECORD = TargetRecord(
    name='t',
    incarnation=1,
    service='s',
    place=Place('east', 'east-a'),
    address=Address('127.0.0.1', 80),
    slots=3,
)
WHOLE = Response(200, (), b'ok')


class FakeConnection:
    """Answers, or ends, each exchange alike."""

    def __init__(self, outcome: Response | Exception) -> None:
        self.outcome = outcome
        self.idle_since_s: float = 0
        self.is_open = True
        self.reusable = True
        self.is_first = True

    async def exchange(
        self,
        request: bytes,
        accepts: Callable[[Response], bool],
    ) -> Response:
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def close(self) -> None:
        self.is_open = False


class FakeCodec:
    """Takes every answer as told."""

    def __init__(self, reply: ResponseMetadata) -> None:
        self.reply = reply

    def encode_request(
        self,
        request: ForwardRequest,
        target: TargetRecord,
        timeout_s: float,
    ) -> bytes:
        return b'request'

    def matches_request(self, answer: Response, request_id: str) -> bool | None:
        return None

    def decode_metadata(self, answer: Response) -> ResponseMetadata:
        return self.reply


class World:
    """One target and what an instance knows of it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        self.state = SteeringState('east', SteeringBounds())
        policy = ServicePolicy('s', cold_s=3, cold_per_s=5)
        self.state.configure(Configuration(1, services={'s': policy}))
        self.state.catalogue.put(RECORD, self.clock.now_s())
        self.outcome: Response | Exception = WHOLE
        self.accepts = True
        self.reply = ResponseMetadata(
            not_run=False, wrong_target=False, signed=True
        )
        monkeypatch.setattr(sender_module, 'connect', self.connect)
        self.sender = TargetSender(
            self.state,
            FakeCodec(self.reply),
            self.clock,
        )

    async def connect(self, address: Address) -> FakeConnection:
        if not self.accepts:
            raise NotSentError('refused')
        return FakeConnection(self.outcome)

    def choose(self) -> Candidate:
        observed = self.state.observations.find('t', 1, self.clock.now_s())
        return Candidate(
            RECORD,
            observed,
            cost_s=0,
            warm=False,
            cold=False,
            load=0,
            rank=0,
        )

    def send(self) -> Attempt:
        async def run() -> Attempt:
            request = make_request()
            return await self.sender.send(request, self.choose(), 1, once=True)

        return anyio.run(run)


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    return World(monkeypatch)


@pytest.mark.parametrize(
    ('failures', 'cold'),
    [(0, False), (1, False), (2, True), (4, True)],
)
def test_a_target_that_was_down_comes_back_cold(
    world: World,
    failures: int,
    *,
    cold: bool,
) -> None:
    """Targets of a failure domain that come back together, before they say."""
    world.accepts = False
    for _ in range(failures):
        assert world.send().verdict == Verdict.NOT_SENT
        world.clock.moment_s += 5
    world.accepts = True
    assert world.send().verdict == Verdict.ANSWERED
    now_s = world.clock.now_s()
    assert world.state.catalogue.is_cold('t', now_s) is cold
    assert not world.state.catalogue.is_cold('t', now_s + 3.1)


def test_a_target_that_accepts_again_did_not_die_of_a_request(
    world: World,
) -> None:
    world.outcome = ConnectionLostError('reset')
    loss = Loss('digest', 't', 1)

    async def run(accepts: bool) -> bool:
        world.accepts = accepts
        world.sender.suspect(world.choose(), loss)
        with anyio.move_on_after(0.1):
            await world.sender.run()
        now_s = world.clock.now_s()
        return bool(world.state.quarantine.list_recent(now_s))

    assert world.send().verdict == Verdict.LOST
    assert not anyio.run(run, True)
    assert anyio.run(run, False)
    assert world.choose().stats.is_ejected(world.clock.now_s())


def test_load_is_given_back_after_every_end(world: World) -> None:
    for outcome in (WHOLE, ConnectionLostError('reset')):
        world.outcome = outcome
        world.send()
        assert world.choose().stats.in_flight == 0


def test_an_answer_without_signature_is_no_success(world: World) -> None:
    world.sender = TargetSender(
        world.state,
        FakeCodec(
            ResponseMetadata(not_run=False, wrong_target=False, signed=False)
        ),
        world.clock,
    )
    assert world.send().verdict == Verdict.LOST


@pytest.mark.parametrize(
    'reply',
    [
        ResponseMetadata(not_run=True, wrong_target=False, signed=False),
        ResponseMetadata(not_run=False, wrong_target=True, signed=False),
    ],
)
def test_what_was_not_run_is_told_apart(
    world: World, reply: ResponseMetadata
) -> None:
    world.sender = TargetSender(world.state, FakeCodec(reply), world.clock)
    attempt = world.send()
    assert attempt.verdict == Verdict.REFUSED
    assert not attempt.may_have_run
