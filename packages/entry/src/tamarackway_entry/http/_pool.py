"""Connections to one address, each with one request in flight."""

from collections import deque
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

import anyio
import httpcore
from tamarackway_core.places import Address

from tamarackway_entry.upstream import (
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    TimedOutError,
)

_MAX_IDLE_S: Final = 2.0
_CONNECT_TIMEOUT_S: Final = 0.5
_FIRST_BYTE_EVENT: Final = 'http11.send_request_headers.started'
_REFUSALS: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)
_LOSSES: Final = (
    httpcore.NetworkError,
    httpcore.RemoteProtocolError,
    httpcore.ConnectionNotAvailable,
    httpcore.TimeoutException,
)
_BODILESS: Final = frozenset((204, 304))


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to be sent.

    :param method: HTTP method.
    :param path: path with query.
    :param headers: headers by lower-case name.
    :param body: all bytes of the body.
    :param timeout_s: longest wait for the whole answer in seconds.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer.

    :param status: HTTP status.
    :param headers: headers by lower-case name.
    :param body: all bytes of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _Idle(NamedTuple):
    connection: httpcore.AsyncHTTPConnection
    since_s: float


class ConnectionPool:
    """Connections to one address.

    :param address: address of the server.
    :param outgoing_host: IP number that connections come from.
    :param max_answer_bytes: largest body of an answer.

    A connection is used again only after a whole answer, and only if it was
    idle for a short time. Any doubt closes it.
    """

    def __init__(
        self,
        address: Address,
        outgoing_host: str,
        max_answer_bytes: int,
    ) -> None:
        """Start without connections."""
        self._origin = httpcore.Origin(
            b'http',
            address.host.encode(),
            address.port,
        )
        self._host = str(address)
        self._outgoing_host = outgoing_host
        self._max_answer_bytes = max_answer_bytes
        self._idle: deque[_Idle] = deque()
        self._network = httpcore.AnyIOBackend()

    async def send(
        self,
        request: HttpRequest,
        *,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request and return the whole answer.

        :param request: the request.
        :param fresh: open a new connection, which proves the server alive.
        :raises NotSentError: if no byte of the request was sent.
        :raises ConnectionLostError: if the connection ended before the answer.
        :raises TimedOutError: if the whole answer did not come in time.
        :raises InvalidResponseError: if the answer cannot be trusted.
        """
        connection = self._connect() if fresh else await self._take()
        sent = _SentFlag(is_set=not fresh)
        keep = False
        try:
            with anyio.fail_after(request.timeout_s):
                answer = await self._exchange(connection, request, sent)
            keep = answer.headers.get('connection', '') != 'close'
        except _REFUSALS as error:
            raise NotSentError(f'{self._host}: {error}') from error
        except _LOSSES as error:
            raise _classify(
                ConnectionLostError, sent, f'{self._host}: {error}'
            ) from error
        except TimeoutError as error:
            problem = f'{self._host}: no answer in {request.timeout_s:.3f} s'
            raise _classify(TimedOutError, sent, problem) from error
        finally:
            await self._give_back(connection, keep=keep)
        return answer

    async def close_idle(self) -> None:
        """Close all connections that are idle."""
        while self._idle:
            await _close(self._idle.popleft().connection)

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        request: HttpRequest,
        sent: '_SentFlag',
    ) -> HttpResponse:
        response = await connection.handle_async_request(
            httpcore.Request(
                request.method,
                httpcore.URL(
                    scheme=self._origin.scheme,
                    host=self._origin.host,
                    port=self._origin.port,
                    target=request.path.encode(),
                ),
                headers=[
                    ('host', self._host),
                    ('content-length', str(len(request.body))),
                    *request.headers.items(),
                ],
                content=request.body,
                extensions=_build_extensions(request.timeout_s, sent),
            ),
        )
        try:
            return await self._read(request, response)
        finally:
            await response.aclose()

    async def _read(
        self,
        request: HttpRequest,
        response: httpcore.Response,
    ) -> HttpResponse:
        headers = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in response.headers
        }
        framed = 'content-length' in headers or 'transfer-encoding' in headers
        bodiless = response.status in _BODILESS or request.method == 'HEAD'
        if not framed and not bodiless:
            raise InvalidResponseError(
                f'{self._host}: the answer has no length'
            )
        body = bytearray()
        async for part in response.aiter_stream():
            body += part
            if len(body) > self._max_answer_bytes:
                raise InvalidResponseError(
                    f'{self._host}: the answer is too long'
                )
        return HttpResponse(response.status, headers, bytes(body))

    def _connect(self) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(
            self._origin,
            local_address=self._outgoing_host,
            network_backend=self._network,
        )

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        now_s = anyio.current_time()
        while self._idle:
            idle = self._idle.pop()
            stale = now_s - idle.since_s > _MAX_IDLE_S
            if not stale and not idle.connection.has_expired():
                return idle.connection
            await _close(idle.connection)
        return self._connect()

    async def _give_back(
        self,
        connection: httpcore.AsyncHTTPConnection,
        *,
        keep: bool,
    ) -> None:
        if keep and connection.is_idle():
            self._idle.append(_Idle(connection, anyio.current_time()))
        else:
            await _close(connection)


class _SentFlag:
    """Tells whether the first byte of a request may have been sent.

    Only requests on new connections are watched, since that costs time.
    """

    def __init__(self, *, is_set: bool) -> None:
        self.is_set = is_set

    async def watch(self, event: str, _details: dict[str, Any]) -> None:
        if event == _FIRST_BYTE_EVENT:
            self.is_set = True


def _build_extensions(timeout_s: float, sent: _SentFlag) -> dict[str, Any]:
    connect_s = min(timeout_s, _CONNECT_TIMEOUT_S)
    extensions: dict[str, Any] = {'timeout': {'connect': connect_s}}
    if not sent.is_set:
        extensions['trace'] = sent.watch
    return extensions


def _classify(
    kind: type[ConnectionLostError] | type[TimedOutError],
    sent: _SentFlag,
    problem: str,
) -> OSError:
    if sent.is_set:
        return kind(problem)
    return NotSentError(problem)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()
