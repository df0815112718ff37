"""Tests of a connection to servers that send wrong, late or extra bytes."""

import asyncio
import gc
import tracemalloc
from collections.abc import Generator
from contextlib import contextmanager

import pytest

from tamarackway_entry.memory import PROCESS_BUDGET
from tamarackway_entry.upstream import (
    Connection,
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    Response,
    ResponseTooLargeError,
)

OWN = b'HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: 2\r\n\r\nok'
OTHER = b'HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 2\r\n\r\nno'
SWITCH = b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\nid: own\r\n\r\nall of it'


class FakeTransport(asyncio.Transport):
    """Records written bytes and whether the transport was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.closed = False
        self.unsent_bytes = 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += bytes(data)

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes


def matches(response: Response) -> bool:
    return response.find(b'id') == b'own'


async def _exchange(
    *received: bytes,
    eof: bool = False,
    reset: bool = False,
) -> tuple[Response, Connection]:
    connection = Connection()
    connection.connection_made(FakeTransport())
    exchange = asyncio.ensure_future(connection.exchange(b'ask', matches))
    await asyncio.sleep(0)
    for part in received:
        connection.data_received(part)
    if eof:
        connection.eof_received()
        connection.connection_lost(None)
    if reset:
        connection.connection_lost(ConnectionResetError('reset'))
    return await asyncio.wait_for(exchange, 1), connection


MIB = 1_048_576
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'


# Guards against a server whose bytes never end, in a head or a body, and fill
# the memory of the instance until the caller gives up.
@pytest.mark.parametrize(
    ('start', 'part', 'max_bytes'),
    [
        (b'HTTP/1.1 200 O', b'K' * 65_536, MIB),
        (b'HTTP/1.1 200 OK\r\nid: ', b'x' * 65_536, MIB),
        (b'HTTP/1.1 200 OK\r\n', b'id: own\r\n' * 4096, MIB),
        (b'HTTP/1.1 200 OK\r\n', b'x' * 100, MIB),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1024, 10 * MIB),
        (b'', OTHER * 1024, 10 * MIB),
        (b'HTTP/1.1 200 OK\r\nid: own\r\n\r\n', b'x' * 65_536, 10 * MIB),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n',
            b'x' * 65_536,
            10 * MIB,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
            CHUNK,
            10 * MIB,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
            b'trailer: x\r\n' * 4096,
            10 * MIB,
        ),
    ],
)
def test_endless_response_is_cut_off(
    start: bytes, part: bytes, max_bytes: int
) -> None:
    async def receive() -> int:
        connection = Connection()
        transport = FakeTransport()
        connection.connection_made(transport)
        exchange = asyncio.ensure_future(connection.exchange(b'ask', matches))
        await asyncio.sleep(0)
        connection.data_received(start)
        received_bytes = 0
        while not transport.closed and received_bytes < 2 * max_bytes:
            connection.data_received(part)
            received_bytes += len(part)
        exchange.cancel()
        await asyncio.wait([exchange])
        assert transport.closed
        return received_bytes

    # A second exchange shows that the first one released its memory budget.
    for _ in 'ab':
        assert asyncio.run(receive()) <= max_bytes


def feed_all(connections: list[Connection], part: bytes) -> int:
    """Feed a part to each open connection; return the number of bytes."""
    open_connections = [item for item in connections if item.is_open]
    for connection in open_connections:
        connection.data_received(part)
    return len(part) * len(open_connections)


def test_memory_of_concurrent_endless_responses_is_bounded() -> None:
    start = b'HTTP/1.1 200 OK\r\nid: own\r\n\r\n'

    part = b'x' * 65_536

    async def receive() -> int:
        connections = [Connection() for _ in range(40)]
        exchanges = []
        for connection in connections:
            connection.connection_made(FakeTransport())
            exchanges.append(
                asyncio.ensure_future(connection.exchange(b'ask', matches))
            )
        await asyncio.sleep(0)
        for connection in connections:
            connection.data_received(start)
        received_bytes = sum(feed_all(connections, part) for _ in range(80))
        for exchange in exchanges:
            exchange.cancel()
        await asyncio.wait(exchanges)
        return received_bytes

    for _ in 'ab':
        # 65 MiB for all, and one more part on each connection.
        assert asyncio.run(receive()) <= 65 * MIB + 40 * len(part)


CHUNKED = b'HTTP/1.1 200 OK\r\nid: own\r\nTransfer-Encoding: chunked\r\n\r\n'


@contextmanager
def without_cyclic_collector() -> Generator[None]:
    """Trace memory that only reference counting frees."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def measure_held_bytes() -> int:
    """Return the memory that the connections and this test have allocated.

    Threads of other tests, such as their stand-ins, allocate memory too.
    """
    own = [
        tracemalloc.Filter(inclusive=True, filename_pattern=pattern)
        for pattern in ('*/upstream/*', '*/memory/*', __file__)
    ]
    snapshot = tracemalloc.take_snapshot()
    held = snapshot.filter_traces(own).statistics('lineno')
    for line in [*held[:3], *snapshot.statistics('lineno')[:3]]:
        print(line)
    return sum(line.size for line in held)


def open_exchange() -> tuple[Connection, asyncio.Future[Response]]:
    connection = Connection()
    connection.connection_made(FakeTransport())
    return connection, asyncio.ensure_future(
        connection.exchange(b'ask', matches)
    )


# Guards against trailers without end, of which each line of four bytes was
# stored as a header and took some thirty times its size.
@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (CHUNKED + b'2\r\nok\r\n0\r\n', b'a:\r\n' * 8192),
        (CHUNKED + b'2\r\nok\r\n0\r\n', b'a' * 32_768),
        (CHUNKED + b'2\r\nok\r\n0\r\na: ', b'a' * 32_768),
        (CHUNKED + b'2\r\nok\r\n', b'2;' + b'a' * 32_768),
        (CHUNKED.removesuffix(b'\r\n'), b'a:\r\n' * 8192),
        (b'', b'HTTP/1.1 103 Early Hints\r\na:\r\n\r\n' * 1024),
    ],
)
def test_memory_of_endless_framing_is_bounded(
    start: bytes, part: bytes
) -> None:
    async def receive() -> None:
        connection, exchange = open_exchange()
        await asyncio.sleep(0)
        connection.data_received(start)
        tracemalloc.reset_peak()
        for _ in range(32):
            if connection.is_open:
                connection.data_received(part)
        exchange.cancel()
        await asyncio.wait([exchange])

    with without_cyclic_collector():
        asyncio.run(receive())
        _, peak_bytes = tracemalloc.get_traced_memory()
    assert peak_bytes < MIB


# Guards against bodies of failed responses that stay in memory, not counted any
# more, until the cyclic collector runs.
@pytest.mark.parametrize('end', ['too long', 'invalid', 'given up', 'reset'])
def test_memory_of_a_failed_response_is_free_when_it_ends(end: str) -> None:
    async def fail() -> Connection:
        connection, exchange = open_exchange()
        await asyncio.sleep(0)
        connection.data_received(CHUNKED)
        for _ in range(200 if end == 'too long' else 32):
            connection.data_received(CHUNK)
        if end == 'invalid':
            connection.data_received(b'no chunk' + b'x' * 262_144)
        if end == 'given up':
            exchange.cancel()
        if end == 'reset':
            connection.connection_lost(ConnectionResetError('reset'))
        await asyncio.wait([exchange])
        # An exception that nobody retrieves is logged, and kept by the log.
        assert exchange.cancelled() or exchange.exception()
        return connection

    async def fail_often() -> int:
        # Callers may keep connections longer than their exchanges.
        connections = [await fail() for _ in range(8)]
        assert not any(connection.reusable for connection in connections)
        return measure_held_bytes()

    with without_cyclic_collector():
        assert asyncio.run(fail_often()) < MIB


# Guards against responses that are held for slow callers and not counted.
def test_delivered_response_counts_until_it_is_dropped() -> None:
    async def receive() -> int:
        used_bytes = PROCESS_BUDGET.used_bytes
        connection, exchange = open_exchange()
        await asyncio.sleep(0)
        connection.data_received(CHUNKED + 32 * CHUNK + b'0\r\n\r\n')
        response = await exchange
        assert connection.reusable
        assert len(response.body) == 2 * MIB
        assert PROCESS_BUDGET.used_bytes == used_bytes + 2 * MIB
        del response, exchange
        await asyncio.sleep(0)
        assert PROCESS_BUDGET.used_bytes == used_bytes
        held_bytes, _ = tracemalloc.get_traced_memory()
        return held_bytes

    with without_cyclic_collector():
        assert asyncio.run(receive()) < MIB


@pytest.mark.parametrize(
    ('length', 'error'),
    [(8 * MIB, None), (9 * MIB, ResponseTooLargeError)],
)
def test_response_that_announces_too_much_is_not_received(
    length: int, error: type[Exception] | None
) -> None:
    async def receive() -> BaseException | None:
        connection, exchange = open_exchange()
        await asyncio.sleep(0)
        head = b'HTTP/1.1 200 OK\r\nid: own\r\nContent-Length: %d\r\n\r\n'
        connection.data_received(head % length)
        if connection.is_open:
            connection.data_received(b'x' * length)
        await asyncio.wait([exchange])
        return exchange.exception()

    failure = asyncio.run(receive())
    assert isinstance(failure, error) if error else failure is None


def test_trailers_are_not_taken_for_headers() -> None:
    trailers = b'2\r\nok\r\n0\r\nnot-executed: 1\r\n\r\n'
    response, connection = asyncio.run(_exchange(CHUNKED + trailers))
    assert response.body == b'ok'
    assert response.find(b'not-executed') is None
    assert connection.reusable


def test_response_with_many_headers_is_read() -> None:
    lines = b''.join(b'name-%d: content\r\n' % n for n in range(100))
    head = b'HTTP/1.1 200 OK\r\nid: own\r\n' + lines
    received = head + b'Content-Length: 2\r\n\r\nok'
    response, _ = asyncio.run(_exchange(received))
    assert response.find(b'name-99') == b'content'


@pytest.mark.parametrize(
    ('received', 'reusable'),
    [
        ((OWN,), True),
        ((OWN[:20], OWN[20:]), True),
        ((OTHER, OWN), True),
        ((OTHER + OWN,), True),
        ((OWN + OTHER,), False),
        ((OWN + b'junk',), False),
        ((b'HTTP/1.1 100 Continue\r\n\r\n' + OWN,), True),
        ((OWN.replace(b'id:', b'Connection: close\r\nid:'),), False),
    ],
)
def test_only_the_matching_response_is_returned(
    received: tuple[bytes, ...],
    *,
    reusable: bool,
) -> None:
    response, connection = asyncio.run(_exchange(*received))
    assert response.body == b'ok'
    assert connection.reusable is reusable


@pytest.mark.parametrize('body_bytes', [0, 1, 65_536, 65_537, 300_000])
def test_body_is_sent_as_fast_as_the_server_reads(body_bytes: int) -> None:
    body = b'ab' * (body_bytes // 2) + b'c' * (body_bytes % 2)

    async def run() -> None:
        connection = Connection()
        transport = FakeTransport()
        connection.connection_made(transport)
        connection.pause_writing()
        exchange = asyncio.ensure_future(
            connection.exchange(b'ask', matches, body)
        )
        await asyncio.sleep(0)
        # A large body waits for the server, a small one goes with the head.
        is_large = body_bytes > 65_536
        assert transport.written == b'ask' + (b'' if is_large else body)
        connection.resume_writing()
        assert transport.written == b'ask' + body
        connection.data_received(OWN)
        assert (await exchange).body == b'ok'
        assert connection.reusable

    asyncio.run(run())


# Guards against the rest of a body that a server takes for the next request.
@pytest.mark.parametrize(('is_paused', 'unsent_bytes'), [(True, 0), (False, 9)])
def test_connection_is_not_reused_before_the_body_is_sent(
    *, is_paused: bool, unsent_bytes: int
) -> None:
    async def run() -> None:
        connection = Connection()
        transport = FakeTransport()
        connection.connection_made(transport)
        if is_paused:
            connection.pause_writing()
        exchange = asyncio.ensure_future(
            connection.exchange(b'ask', matches, b'x' * 100_000)
        )
        await asyncio.sleep(0)
        transport.unsent_bytes = unsent_bytes
        connection.data_received(OWN)
        assert (await exchange).body == b'ok'
        assert not connection.reusable
        connection.resume_writing()
        assert len(transport.written) < 100_000 or not is_paused

    asyncio.run(run())


def test_body_without_length_ends_with_its_connection() -> None:
    response, connection = asyncio.run(_exchange(UNFRAMED, eof=True))
    assert response.body == b'all of it'
    assert not connection.reusable


@pytest.mark.parametrize(
    ('received', 'eof', 'reset', 'error'),
    [
        ((UNFRAMED,), False, True, ConnectionLostError),
        ((OWN[:-1],), True, False, ConnectionLostError),
        ((), True, False, ConnectionLostError),
        ((OTHER,), False, True, ConnectionLostError),
        ((b'\x00\x01\x02',), False, False, InvalidResponseError),
        ((OWN.replace(b'200', b'600'),), False, False, InvalidResponseError),
        ((OWN.replace(b'200', b'099'),), False, False, InvalidResponseError),
        (
            (b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n',),
            True,
            False,
            OSError,
        ),
    ],
)
def test_incomplete_or_invalid_responses_are_errors(
    received: tuple[bytes, ...],
    error: type[Exception],
    *,
    eof: bool,
    reset: bool,
) -> None:
    with pytest.raises(error):
        asyncio.run(_exchange(*received, eof=eof, reset=reset))


# Guards against errors that each add a time series to the metrics, which use
# them as labels: a server chose the text by the length of its head.
@pytest.mark.parametrize('extra', [b'', b'a: b\r\n', b'a: bc\r\n'])
def test_error_does_not_depend_on_received_bytes(extra: bytes) -> None:
    head = extra + b'Connection: upgrade\r\nUpgrade'
    with pytest.raises(InvalidResponseError) as caught:
        asyncio.run(_exchange(SWITCH.replace(b'Upgrade', head)))
    assert str(caught.value) == 'not an answer: it switches protocols'


def test_bytes_on_an_idle_connection_close_it() -> None:
    async def run() -> bool:
        _, connection = await _exchange(OWN)
        connection.data_received(OTHER)
        return connection.is_open

    assert not asyncio.run(run())


def test_closed_connection_sends_nothing() -> None:
    async def run() -> None:
        connection = Connection()
        await connection.exchange(b'ask', matches)

    with pytest.raises(NotSentError):
        asyncio.run(run())
