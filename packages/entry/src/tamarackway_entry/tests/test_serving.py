"""Tests of the bounds on what a client may send to a server."""

import asyncio
import gc
import tracemalloc
from collections.abc import Awaitable, Callable, Generator
from contextlib import contextmanager
from typing import Any

import pytest
import uvicorn

from tamarackway_entry.memory import PROCESS_BUDGET
from tamarackway_entry.serving import _protocol as protocol_module
from tamarackway_entry.serving._protocol import BoundedHttpProtocol

MIB = 1_048_576
GET = b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n'
POST = b'POST /x HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class FakeTransport(asyncio.Transport):
    """Records written bytes and whether the transport was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.closed = False
        self.aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def abort(self) -> None:
        self.closed = True
        self.aborted = True

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        """Do nothing: the tests send on."""

    def resume_reading(self) -> None:
        """Do nothing: the tests send on."""


class Server:
    """Runs requests that have arrived whole, each until it is released."""

    def __init__(self, keep_alive_s: float = 5) -> None:
        self.scopes: list[dict[str, Any]] = []
        self.gone = 0
        self.released = asyncio.Event()
        self.transport = FakeTransport()
        config = uvicorn.Config(
            self.serve,
            interface='asgi3',
            ws='none',
            lifespan='off',
            log_config=None,
            timeout_keep_alive=keep_alive_s,  # type: ignore[arg-type]
        )
        config.load()
        state = uvicorn.server.ServerState()
        self.protocol = BoundedHttpProtocol(config, state, {})
        self.protocol.connection_made(self.transport)

    async def serve(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        message = await receive()
        while message.get('more_body'):
            message = await receive()
        if message['type'] == 'http.disconnect':
            return
        self.scopes.append(scope)
        if not self.released.is_set():
            waiting = asyncio.ensure_future(self.released.wait())
            leaving = asyncio.ensure_future(receive())
            await asyncio.wait(
                [waiting, leaving], return_when=asyncio.FIRST_COMPLETED
            )
            self.gone += leaving.done()
            waiting.cancel()
            leaving.cancel()
        headers = [(b'content-length', b'2')]
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': headers})
        await send({'type': 'http.response.body', 'body': b'ok'})

    async def feed(self, *received: bytes) -> None:
        for part in received:
            if not self.transport.closed:
                self.protocol.data_received(part)
            await settle()
        if self.transport.closed:
            self.protocol.connection_lost(None)
            await settle()

    @property
    def status_line(self) -> bytes:
        return self.transport.written.split(b'\r\n')[0]


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@contextmanager
def traced() -> Generator[None]:
    gc.collect()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()


# Guards against clients whose heads, trailers or requests have no end and fill
# the memory of the instance.
@pytest.mark.parametrize(
    ('start', 'part', 'status_line'),
    [
        (b'', b'G' * 32_768, b'HTTP/1.1 400 Bad Request'),
        (b'GET /', b'x' * 32_768, b'HTTP/1.1 431 Request Header'),
        (GET[:-2], b'a' * 32_768, b'HTTP/1.1 431 Request Header'),
        (GET[:-2] + b'a: ', b'a' * 32_768, b'HTTP/1.1 431 Request Header'),
        (GET[:-2], b'a:\r\n' * 8192, b'HTTP/1.1 431 Request Header'),
        (POST + b'1;', b'a' * 32_768, b'HTTP/1.1 431 Request Header'),
        (POST + b'0\r\n', b'a' * 32_768, b'HTTP/1.1 431 Request Header'),
        (POST + b'0\r\n', b'a:\r\n' * 8192, b'HTTP/1.1 431 Request Header'),
        (b'', GET * 1024, b''),
    ],
)
def test_memory_of_endless_requests_is_bounded(
    start: bytes, part: bytes, status_line: bytes
) -> None:
    async def run() -> tuple[Server, int]:
        server = Server()
        with traced():
            await server.feed(start)
            await server.feed(*([part] * 64))
            _, peak_bytes = tracemalloc.get_traced_memory()
        server.released.set()
        for _ in range(10):
            await settle()
        return server, peak_bytes

    server, peak_bytes = asyncio.run(run())
    assert peak_bytes < MIB
    assert server.transport.closed
    assert server.status_line.startswith(status_line)
    # Of the pipelined requests, the first and those that may wait run.
    assert len(server.scopes) <= (0 if status_line else 9)


# Guards against heads that are received on thousands of connections at once.
@pytest.mark.parametrize(
    ('excess_bytes', 'head_bytes', 'status_line'),
    [
        (0, 60_000, b'HTTP/1.1 200 OK'),
        (MIB * 1024, 16_000, b'HTTP/1.1 200 OK'),
        (MIB * 1024, 17_000, b'HTTP/1.1 503 Service Unavailable'),
    ],
)
@pytest.mark.parametrize('start', [GET[:-2] + b'a: ', POST + b'0\r\na: '])
def test_heads_that_are_received_count(
    start: bytes, excess_bytes: int, head_bytes: int, status_line: bytes
) -> None:
    async def run() -> Server:
        server = Server()
        server.released.set()
        used_bytes = PROCESS_BUDGET.used_bytes
        part = b'a' * (head_bytes - len(start))
        await server.feed(start, part)
        if not server.transport.closed:
            counted_bytes = PROCESS_BUDGET.used_bytes - used_bytes
            assert head_bytes - len(start) <= counted_bytes <= head_bytes
        await server.feed(b'\r\n\r\n')
        assert PROCESS_BUDGET.used_bytes == used_bytes
        return server

    PROCESS_BUDGET.add(excess_bytes, 0)
    try:
        server = asyncio.run(run())
    finally:
        PROCESS_BUDGET.release(excess_bytes)
    assert server.status_line == status_line


# Guards against requests that are cut, or get a refusal of a later one, because
# of what their client sends behind them.
@pytest.mark.parametrize(
    'second', [b'no request\r\n', GET[:-2] + b'a:\r\n' * 300, GET * 10]
)
def test_running_request_gets_no_refusal_of_a_later_one(second: bytes) -> None:
    async def run() -> Server:
        server = Server()
        await server.feed(GET, second, GET)
        assert len(server.scopes) == 1
        assert not server.transport.written
        server.released.set()
        for _ in range(10):
            await settle()
        return server

    server = asyncio.run(run())
    assert not server.gone
    assert not server.transport.aborted
    assert server.transport.closed
    received = 1 + min(second.count(GET), 8)
    assert len(server.scopes) == received
    assert server.transport.written.count(b'HTTP/1.1 200 OK') == received
    assert server.transport.written.count(b'HTTP/1.1') == received
    assert server.transport.written.count(b'connection: close') == 1


def test_trailers_are_not_taken_for_headers() -> None:
    async def run() -> Server:
        server = Server()
        server.released.set()
        trailers = b'2\r\nok\r\n0\r\ndeadline-ms: 1\r\n\r\n'
        await server.feed(POST + trailers, GET + GET)
        return server

    server = asyncio.run(run())
    names = [name for name, _ in server.scopes[0]['headers']]
    assert names == [b'host', b'transfer-encoding']
    assert server.transport.written.count(b'200 OK') == 3
    assert not server.transport.closed


@pytest.mark.parametrize(
    ('start', 'rest', 'status_line'),
    [
        (b'GET /', b'', b'HTTP/1.1 408 Request Timeout'),
        (GET[:-2], b'', b'HTTP/1.1 408 Request Timeout'),
        (GET[:-2], b'\r\n', b'HTTP/1.1 200 OK'),
        (GET, b'', b'HTTP/1.1 200 OK'),
        (GET + b'GET /', b'', b'HTTP/1.1 200 OK'),
        (b'GET /', GET[5:] + b'GET /', b'HTTP/1.1 200 OK'),
    ],
)
def test_only_a_stalled_head_is_refused(
    monkeypatch: pytest.MonkeyPatch,
    start: bytes,
    rest: bytes,
    status_line: bytes,
) -> None:
    monkeypatch.setattr(protocol_module, '_HEAD_TIMEOUT_S', 0.02)

    async def run() -> Server:
        server = Server()
        await server.feed(start, rest)
        await asyncio.sleep(0.05)
        server.released.set()
        await settle()
        return server

    assert asyncio.run(run()).status_line == status_line


def test_client_that_reads_nothing_is_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(protocol_module, '_WRITE_TIMEOUT_S', 0.02)

    async def run(*, resumes: bool) -> bool:
        server = Server()
        server.protocol.pause_writing()
        if resumes:
            server.protocol.resume_writing()
        await asyncio.sleep(0.05)
        return server.transport.aborted

    assert asyncio.run(run(resumes=False))
    assert not asyncio.run(run(resumes=True))


# Guards against requests that lose their body, or the requests behind them, by
# an offer to switch protocols.
@pytest.mark.parametrize('head', [GET, POST])
@pytest.mark.parametrize('size', [1, 7, 4096])
def test_offer_to_switch_protocols_is_ignored(head: bytes, size: int) -> None:
    offer = b'connection: Upgrade\r\nUpgrade: h2c\r\n\r\n'
    body = b'2\r\nok\r\n0\r\n\r\n' if head == POST else b''
    sent = (head[:-2] + offer + body) * 2 + head + body

    async def run() -> Server:
        server = Server()
        server.released.set()
        await server.feed(
            *(sent[start : start + size] for start in range(0, len(sent), size))
        )
        for _ in range(10):
            await settle()
        return server

    server = asyncio.run(run())
    assert server.transport.written.count(b'200 OK') == 3
    assert len(server.scopes) == 3
    assert {scope['method'] for scope in server.scopes} == {
        head[:4].strip().decode()
    }
    assert not server.transport.closed


@pytest.mark.parametrize('target', [b'h:80', b'/x'])
def test_connect_is_refused(target: bytes) -> None:
    async def run() -> Server:
        server = Server()
        server.released.set()
        await server.feed(b'CONNECT %s HTTP/1.1\r\nhost: h\r\n\r\n' % target)
        return server

    server = asyncio.run(run())
    assert server.status_line == b'HTTP/1.1 400 Bad Request'
    assert not server.scopes


# Guards against connections that last for ever because their client has ended
# without closing them, or sends nothing more.
@pytest.mark.parametrize(
    ('sent', 'is_closed'),
    [
        ((), True),
        ((b'\r\n',), True),
        ((GET,), True),
        ((GET, b'\r\n'), True),
        ((POST + b'2\r\nok\r\n',), False),
    ],
)
def test_idle_connection_is_closed(
    sent: tuple[bytes, ...], *, is_closed: bool
) -> None:
    async def run() -> bool:
        server = Server(keep_alive_s=0.02)
        server.released.set()
        await server.feed(*sent)
        await asyncio.sleep(0.1)
        return server.transport.closed

    assert asyncio.run(run()) is is_closed
