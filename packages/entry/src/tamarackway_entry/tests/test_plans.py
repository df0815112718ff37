"""Tests of plan confirmation after pauses of the process."""

from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import pytest
from tamarackway_core.membership import Member
from tamarackway_core.places import Instance, Place, State
from tamarackway_core.sheet import COLUMNS
from tamarackway_core.wire import (
    Message,
    PlanPush,
    PlanReply,
    PlanRequest,
)

from tamarackway_entry.kernel import PauseDetector
from tamarackway_entry.peers import PeerService
from tamarackway_entry.plans import CurrentPlan, PlanService, PlanSubmitter
from tamarackway_entry.settings import InstanceSettings
from tamarackway_entry.telemetry import Metrics
from tamarackway_entry.tests.fakes import (
    FakeClock,
    FakeObjects,
    FakeTable,
    build_plan,
)

pytestmark = pytest.mark.anyio
SHEET = '\n'.join((
    ','.join(COLUMNS),
    'l1,lookup,status,,,,500,ms,why',
    's1,serve,status,North,,,60,percent,why',
    '',
))
PAUSE_S = 3.0  # longer than the shortest pause that is detected, 2 s
WAIT_S = 2.0


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class FakePeers:
    """One peer, whose replies are held back until ``gate`` is set."""

    def __init__(self) -> None:
        self.plan_version = 1
        self.listeners: list[Callable[[Member], None]] = []
        self.request_count = 0
        self.gate: anyio.Event | None = None

    def register_handler(self, kind: type[object], handler: Any) -> None:
        """Ignore the handler; the tests call the listeners."""

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        self.listeners.append(listener)

    def list_live(self) -> list[Member]:
        return [build_member(self.plan_version)]

    def send_heartbeat(self, plan_version: int) -> None:
        for listener in self.listeners:
            listener(build_member(plan_version))

    async def request(self, _name: str, message: Message) -> Message:
        assert isinstance(message, PlanRequest)
        self.request_count += 1
        version = self.plan_version
        if self.gate is not None:
            await self.gate.wait()
        if version <= message.above:
            return PlanReply(None)
        return PlanReply(PlanPush(build_plan(version, SHEET), {}))


class PlanFixture:
    """A plan service with fake dependencies."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.peers = FakePeers()
        self.table = FakeTable()
        self.table.refuse = True  # only the peer can confirm the plan
        self.current = CurrentPlan()
        self.pauses = PauseDetector(self.clock)
        table = self.table.as_service()
        self.service = PlanService(
            self.current,
            PlanSubmitter(table, FakeObjects().as_store(), self.clock),
            table,
            cast('PeerService', self.peers),
            build_settings(),
            self.pauses,
            self.clock,
            Metrics(),
        )

    async def wait_ready(self) -> None:
        with anyio.fail_after(WAIT_S):
            while not self.service.is_ready:
                self.peers.send_heartbeat(self.peers.plan_version)
                await anyio.sleep(0.01)


def build_member(plan_version: int) -> Member:
    instance = Instance('b', Place('North', 'n2'), 'h:1', 'h:2', 'h:3')
    return Member(instance, 'incarnation', State.LIVE, plan_version)


def build_settings() -> InstanceSettings:
    return InstanceSettings(
        name='a',
        region='North',
        failure_domain='n1',
        callers='h:1',
        peers='h:2',
        admin='h:3',
        outgoing_host='127.0.0.1',
    )


@asynccontextmanager
async def run_plan_service() -> AsyncGenerator[PlanFixture]:
    """Run a plan service and yield it once its plan is confirmed."""
    fixture = PlanFixture()
    async with anyio.create_task_group() as group:
        group.start_soon(fixture.service.run)
        await fixture.wait_ready()
        try:
            yield fixture
        finally:
            group.cancel_scope.cancel()


async def test_a_pause_counted_by_a_timer_still_delays_requests() -> None:
    async with run_plan_service() as fixture:
        fixture.peers.plan_version = 2
        fixture.clock.at_s += PAUSE_S
        fixture.pauses.count()  # as a timer would do, before the request
        await fixture.service.wait_confirmed()
        assert fixture.current.version == 2


async def test_a_heartbeat_sent_before_a_pause_does_not_confirm() -> None:
    async with run_plan_service() as fixture:
        fixture.peers.plan_version = 2
        fixture.clock.at_s += PAUSE_S
        fixture.peers.send_heartbeat(plan_version=1)
        assert not fixture.service.is_ready
        await fixture.service.wait_confirmed()
        assert fixture.current.version == 2


async def test_a_reply_requested_before_a_pause_does_not_confirm() -> None:
    async with run_plan_service() as fixture:
        fixture.clock.at_s += PAUSE_S
        fixture.peers.gate = anyio.Event()
        request_count = fixture.peers.request_count
        with anyio.fail_after(WAIT_S):
            while fixture.peers.request_count == request_count:
                await anyio.sleep(0.01)
        fixture.clock.at_s += PAUSE_S
        fixture.peers.gate.set()
        fixture.peers.gate = None
        fixture.peers.plan_version = 2
        await fixture.service.wait_confirmed()
        assert fixture.current.version == 2
