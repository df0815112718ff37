"""Tests of the gate that admits requests to an instance."""

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from typing import Any

import pytest
from tamarackway_core.places import Address

from tamarackway_entry.serving import AdmissionGate, HttpServer
from tamarackway_entry.serving._admission import PendingRequest
from tamarackway_entry.tests.test_following import ManualClock

HOST = '127.0.0.1'
REQUEST = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'


class FakeResponder:
    """Refuses requests whose path is not odd."""

    def __init__(self) -> None:
        self.refused: list[bytes] = []

    async def refuse(self, scope: Any, receive: Any, send: Any) -> None:
        """Refuse a request that was read."""
        self.refused.append(scope['path'].encode())
        await respond(scope, send, 503)

    def encode_refusal(self, request: bytes) -> bytes | None:
        """Refuse a request that is complete."""
        if not request.endswith(b'\r\n\r\n') or b'/odd' in request:
            return None
        self.refused.append(request.split(b' ')[1])
        return REFUSAL


class FakeObserver:
    """Records what the gate tells."""

    def __init__(self) -> None:
        self.departures = 0
        self.backlogs: list[bool] = []

    def record_departure(self) -> None:
        self.departures += 1

    def record_backlog(self, waiting: int, *, is_behind: bool) -> None:
        self.backlogs.append(is_behind)


class FakeEnd:
    """The end of a connection that has come or not."""

    def __init__(self, *, has_come: bool) -> None:
        self.is_over = has_come

    def has_come(self) -> bool:
        return self.is_over


class Requests:
    """A gate, and what became of the requests that it got."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.responder = FakeResponder()
        self.observer = FakeObserver()
        self.gate = AdmissionGate(self.clock, self.responder, self.observer)
        self.started: list[int] = []
        self.refused: list[int] = []
        self.dropped: list[int] = []

    async def serve(self, *_arguments: Any) -> None:
        """Serve a request; only compared."""

    def submit(self, number: int, *, has_left: bool = False) -> None:
        def start(app: Any) -> None:
            is_refusal = app == self.responder.refuse
            (self.refused if is_refusal else self.started).append(number)

        self.gate.submit(
            PendingRequest(
                FakeEnd(has_come=has_left),  # type: ignore[arg-type]
                start,
                self.serve,
                lambda: self.dropped.append(number),
            )
        )


async def respond(scope: Any, send: Any, status: int) -> None:
    await send({
        'type': 'http.response.start',
        'status': status,
        'headers': [(b'content-length', b'0')],
    })
    await send({'type': 'http.response.body', 'body': b''})


# Guards against turns of the event loop that last while there are requests,
# so that responses and the ends of connections are read late.
def test_requests_are_started_in_order_over_turns() -> None:
    requests = Requests()

    async def run() -> list[int]:
        for number in range(30):
            requests.submit(number)
        counts = [len(requests.started)]
        for _ in range(5):
            await asyncio.sleep(0)
            counts.append(len(requests.started))
        return counts

    assert asyncio.run(run()) == [8, 16, 24, 30, 30, 30]
    assert requests.started == list(range(30))
    assert not requests.refused


# Guards against work on requests whose callers have left while they waited.
def test_requests_of_callers_that_left_are_dropped() -> None:
    requests = Requests()

    async def run() -> None:
        for number in range(100):
            requests.submit(number, has_left=8 <= number < 98)
        await asyncio.sleep(0)

    asyncio.run(run())
    assert requests.started == [*range(8), 98, 99]
    assert requests.dropped == list(range(8, 98))
    assert requests.observer.departures == 90


def test_standing_backlog_is_refused_and_reported() -> None:
    requests = Requests()

    async def run() -> None:
        for number in range(100):
            requests.submit(number)
        requests.clock.moment_s += 1
        requests.submit(100)
        await asyncio.sleep(0)
        assert requests.observer.backlogs == [True]
        for _ in range(10):
            await asyncio.sleep(0)
        requests.clock.moment_s += 1
        requests.submit(101)
        await asyncio.sleep(0)

    asyncio.run(run())
    assert requests.observer.backlogs == [True, False]
    assert requests.refused == [100, *range(8, 68)]
    assert requests.started == [*range(8), *range(68, 100), 101]


# Guards against an instance that refuses all new connections for good: those
# that it admitted last sent nothing, and each refusal prolonged the backlog.
def test_connections_without_a_request_take_no_place_for_long() -> None:
    requests = Requests()

    async def run() -> list[bool]:
        for number in range(100):
            requests.submit(number)
        requests.clock.moment_s += 1
        for _ in range(20):
            await asyncio.sleep(0)
        admitted = []
        for _ in range(3):
            admitted += [requests.gate.admits_connection() for _ in range(9)]
            await asyncio.sleep(0)
        return admitted

    assert asyncio.run(run()) == [*[True] * 8, False] * 3


async def exchange(requests: list[bytes], port: int) -> list[bytes]:
    """Send each request on a new connection; return the first lines."""

    async def call(request: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(request)
        try:
            return await reader.readline()
        finally:
            writer.close()

    return await asyncio.gather(*map(call, requests))


async def serve_ok(scope: Any, _receive: Any, send: Any) -> None:
    await respond(scope, send, 200)


def run_server(gate: AdmissionGate, work: Any) -> Coroutine[Any, Any, Any]:
    """Run a server with a gate while some work is done with its port."""
    with socket.create_server((HOST, 0)) as reserved:
        port = reserved.getsockname()[1]
    server = HttpServer(serve_ok, Address(HOST, port), None, gate=gate)

    async def run() -> Any:
        serving = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        try:
            return await work(port)
        finally:
            server.stop_accepting()
            await serving

    return run()


# Guards against refusals that cost as much as service, or that cut off requests
# which cannot be refused without being read.
def test_new_connections_are_refused_unread_while_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    requests = Requests()
    paths = [b'odd' if number % 4 == 0 else b'even' for number in range(40)]
    sent = [b'GET /%s HTTP/1.1\r\nHost: h\r\n\r\n' % path for path in paths]

    async def work(port: int) -> list[bytes]:
        monkeypatch.setattr(requests.gate, 'admits_connection', lambda: False)
        return await exchange(sent, port)

    lines = asyncio.run(run_server(requests.gate, work))
    statuses = [line.split(b' ')[1] for line in lines]
    assert statuses == [b'200' if path == b'odd' else b'503' for path in paths]
    assert len(requests.responder.refused) == 30


# Guards against connections that are held for their request and forgotten: they
# are served once it has come, and end with the server.
@pytest.mark.parametrize('sends', [True, False])
def test_held_connections_are_served_or_closed(
    monkeypatch: pytest.MonkeyPatch, *, sends: bool
) -> None:
    requests = Requests()

    async def work(port: int) -> bytes:
        monkeypatch.setattr(requests.gate, 'admits_connection', lambda: False)
        reader, writer = await asyncio.open_connection(HOST, port)
        await asyncio.sleep(0.05)
        monkeypatch.setattr(requests.gate, 'admits_connection', lambda: True)
        if sends:
            writer.write(REQUEST % 1)
            return await reader.readline()
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        return b''

    line = asyncio.run(run_server(requests.gate, work))
    assert line == (b'HTTP/1.1 200 OK\r\n' if sends else b'')
