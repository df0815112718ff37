"""Tests of the kernel, slot queue, peer authentication and decision log."""

from typing import Any, cast

import anyio
import pytest
from tamarackway_core.errors import TamarackwayError

from tamarackway_entry.decisions import Decision, DecisionLog
from tamarackway_entry.kernel import Kernel
from tamarackway_entry.links._auth import authenticate
from tamarackway_entry.routes import SlotQueue

pytestmark = pytest.mark.anyio
KEY = 'k' * 32
OTHER_KEY = 'o' * 32


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class FakeTransport:
    """One end of an in-memory connection."""

    def __init__(self, incoming: Any, outgoing: Any) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self.sent = 0
        self.is_authenticated = False

    async def send(self, message: bytes, /) -> None:
        self.sent += 1
        await self._outgoing.send(message)

    async def recv(self) -> bytes:
        return cast('bytes', await self._incoming.receive())


def _connect() -> tuple[FakeTransport, FakeTransport]:
    to_server = anyio.create_memory_object_stream[bytes](9)
    to_client = anyio.create_memory_object_stream[bytes](9)
    client = FakeTransport(to_client[1], to_server[0])
    server = FakeTransport(to_server[1], to_client[0])
    return client, server


@pytest.mark.parametrize(
    ('client_keys', 'server_keys', 'authenticated'),
    [
        ((KEY,), (KEY,), True),
        ((OTHER_KEY,), (KEY, OTHER_KEY), True),
        ((KEY, OTHER_KEY), (OTHER_KEY,), False),
        ((OTHER_KEY, KEY), (KEY, OTHER_KEY), True),
        ((OTHER_KEY,), (KEY,), False),
    ],
)
async def test_authentication_needs_accepted_keys_on_both_sides(
    client_keys: tuple[str, ...],
    server_keys: tuple[str, ...],
    authenticated: bool,
) -> None:
    client, server = _connect()
    results: list[bool] = []

    async def run(
        transport: FakeTransport,
        keys: tuple[str, ...],
        role: str,
    ) -> None:
        results.append(await authenticate(transport, keys, role))

    async with anyio.create_task_group() as group:
        group.start_soon(run, client, client_keys, 'client')
        group.start_soon(run, server, server_keys, 'server')
    assert all(results) is authenticated
    assert client.is_authenticated is authenticated


async def test_server_sends_unauthenticated_client_only_a_nonce() -> None:
    client, server = _connect()
    for _ in range(2):
        await client.send(b'x' * 32)
    assert not await authenticate(server, (KEY,), 'server')
    assert server.sent == 1
    assert not server.is_authenticated


def test_kernel_finds_components_by_name_and_type() -> None:
    kernel = Kernel()
    kernel.register('answer', 42)
    assert kernel.find('answer', int) == 42
    with pytest.raises(TamarackwayError):
        kernel.find('answer', str)
    with pytest.raises(TamarackwayError):
        kernel.find('question', int)
    with pytest.raises(TamarackwayError):
        kernel.register('answer', 43)


async def test_queue_wakes_waiters_in_order_of_arrival() -> None:
    queue = SlotQueue(2)
    woken: list[int] = []
    tickets = [queue.take_ticket() for _ in range(2)]

    async def wait(ticket: int) -> None:
        await queue.wait(ticket, 5)
        woken.append(ticket)

    async with anyio.create_task_group() as group:
        for ticket in reversed(tickets):
            group.start_soon(wait, ticket)
        await anyio.sleep(0.01)
        assert queue.is_full
        queue.wake()
        await anyio.sleep(0.01)
        assert woken == tickets[:1]
        queue.wake_all()
    assert not len(queue)


def test_decision_log_evicts_oldest_decision() -> None:
    log = DecisionLog(2)
    for number in range(3):
        log.add(Decision(f'r{number}', 's', 'North', 1, 0, 0))
    assert log.find('r0') is None
    assert log.find('r2') is not None
