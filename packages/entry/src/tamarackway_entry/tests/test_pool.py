"""Tests of connections to faulty servers."""

import contextlib
import functools
from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener
from tamarackway_core.places import Address

from tamarackway_entry.http import (
    ConnectionLostError,
    ConnectionPool,
    HttpError,
    HttpRequest,
    HttpResponse,
    InvalidResponseError,
    NotSentError,
    TimedOutError,
    WithdrawnError,
)

pytestmark = pytest.mark.anyio
HOST = '127.0.0.1'
HEAD = b'HTTP/1.1 200 OK\r\n'
MAX_BYTES = 1000
HANG_TIMEOUT_S = 0.3
TIMEOUT_S = 10.0  # beside load, client and server may stand still together
_Handler = Callable[[SocketStream], Awaitable[None]]


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


async def _respond(response: bytes, stream: SocketStream) -> None:
    async with stream:
        await stream.receive()
        await stream.send(response)


async def _reset(stream: SocketStream) -> None:
    async with stream:
        await stream.receive()


async def _hang(stream: SocketStream) -> None:
    async with stream:
        await anyio.sleep_forever()


async def _send(handler: _Handler, *, fresh: bool = True) -> HttpResponse:
    listener = await anyio.create_tcp_listener(local_host=HOST)
    pool = ConnectionPool(
        Address(HOST, _find_port(listener)),
        HOST,
        MAX_BYTES,
    )
    timeout_s = HANG_TIMEOUT_S if handler is _hang else TIMEOUT_S
    request = HttpRequest('GET', '/', {}, b'', timeout_s)
    outcome: list[HttpResponse | HttpError] = []
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, handler)
        try:
            outcome.append(await pool.send(request, fresh=fresh))
        except HttpError as error:
            outcome.append(error)
        await pool.close_idle()
        group.cancel_scope.cancel()
    if isinstance(outcome[0], HttpError):
        raise outcome[0]
    return outcome[0]


def _find_port(listener: MultiListener[SocketStream]) -> int:
    address = listener.extra_attributes[SocketAttribute.local_address]()
    port: int = address[1]
    return port


async def test_complete_response_is_returned() -> None:
    response = HEAD + b'content-length: 2\r\n\r\nok'
    received = await _send(functools.partial(_respond, response))
    assert (received.status, received.body) == (200, b'ok')


@pytest.mark.parametrize('fresh', [True, False])
@pytest.mark.parametrize(
    ('handler', 'error'),
    [
        (_reset, ConnectionLostError),
        (_hang, TimedOutError),
        (
            functools.partial(_respond, HEAD + b'content-length: 9\r\n\r\nok'),
            ConnectionLostError,
        ),
        (functools.partial(_respond, HEAD + b'\r\nok'), InvalidResponseError),
        (
            functools.partial(
                _respond,
                HEAD + b'content-length: 2000\r\n\r\n' + b'x' * 2000,
            ),
            InvalidResponseError,
        ),
        (functools.partial(_respond, b'garbage\r\n\r\n'), ConnectionLostError),
    ],
)
async def test_faulty_responses_raise_specific_errors(
    handler: _Handler,
    error: type[Exception],
    fresh: bool,
) -> None:
    with pytest.raises(error):
        await _send(handler, fresh=fresh)


# Guards against callers and services that get an answer which is none, since
# the parser accepts any status from 100 on.
@pytest.mark.parametrize('fresh', [True, False])
@pytest.mark.parametrize('status', [b'000', b'099', b'101', b'600', b'999'])
async def test_response_without_a_valid_status_is_an_error(
    status: bytes, fresh: bool
) -> None:
    head = HEAD.replace(b'200', status)
    response = head + b'content-length: 2\r\n\r\nok'
    with pytest.raises((ConnectionLostError, InvalidResponseError)):
        await _send(functools.partial(_respond, response), fresh=fresh)


async def test_refused_connection_raises_not_sent() -> None:
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = _find_port(listener)
    await listener.aclose()
    pool = ConnectionPool(Address(HOST, port), HOST, MAX_BYTES)
    request = HttpRequest('GET', '/', {}, b'', 1)
    with pytest.raises(NotSentError):
        await pool.send(request, fresh=True)


# Guards against requests on the interface of our own that reach a target after
# their callers have left, at once or while the connection was opened.
@pytest.mark.parametrize('fresh', [True, False])
@pytest.mark.parametrize('asks_before', [0, 1])
async def test_withdrawn_request_is_not_sent(
    asks_before: int, *, fresh: bool
) -> None:
    received: list[bytes] = []
    asked: list[bool] = []

    async def handle(stream: SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                received.append(await stream.receive())

    def is_withdrawn() -> bool:
        asked.append(True)
        return len(asked) > asks_before

    listener = await anyio.create_tcp_listener(local_host=HOST)
    pool = ConnectionPool(Address(HOST, _find_port(listener)), HOST, MAX_BYTES)
    request = HttpRequest('GET', '/', {}, b'', TIMEOUT_S, is_withdrawn)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle)
        with pytest.raises(WithdrawnError):
            await pool.send(request, fresh=fresh)
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert not received
