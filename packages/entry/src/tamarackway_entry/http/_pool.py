"""Pool of HTTP connections to one address."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

import anyio
import httpcore
from tamarackway_core.places import Address

from tamarackway_entry.memory import PROCESS_BUDGET, MemoryBudget, Reservation
from tamarackway_entry.upstream import (
    ConnectionLostError,
    InvalidResponseError,
    NotSentError,
    ResponseTooLargeError,
    TimedOutError,
    WithdrawnError,
)

_MAX_IDLE_S: Final = 2.0
_CONNECT_TIMEOUT_S: Final = 0.5
_FIRST_BYTE_EVENT: Final = 'http11.send_request_headers.started'
_CONNECT_ERRORS: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)
_CONNECTION_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.RemoteProtocolError,
    httpcore.ConnectionNotAvailable,
    httpcore.TimeoutException,
)
_BODILESS: Final = frozenset((204, 304))
# Of a final response. The parser takes any three digits for a status.
_FIRST_STATUS: Final = 200
_LAST_STATUS: Final = 599


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to send.

    :param method: HTTP method.
    :param path: path with query.
    :param headers: headers by lower-case name.
    :param body: all bytes of the body.
    :param timeout_s: longest wait for the complete response in seconds.
    :param is_withdrawn: returns whether it must not be sent any more; None if
        it cannot be withdrawn.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
    is_withdrawn: Callable[[], bool] | None = None


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    :param status: HTTP status.
    :param headers: headers by lower-case name.
    :param body: all bytes of the body.
    :param reservation: counts the memory of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    reservation: Reservation | None = field(default=None, compare=False)


class _IdleConnection(NamedTuple):
    connection: httpcore.AsyncHTTPConnection
    since_s: float


class ConnectionPool:
    """Pool of connections to one address, each with one request in flight.

    :param address: address of the server.
    :param outgoing_host: source IP address of connections.
    :param max_response_bytes: largest body of a response in bytes.
    :param budget: bounds the memory of the bodies of all responses.

    A connection is reused only after a complete response and a short idle time.
    In all other cases it is closed.
    """

    def __init__(
        self,
        address: Address,
        outgoing_host: str,
        max_response_bytes: int,
        budget: MemoryBudget = PROCESS_BUDGET,
    ) -> None:
        """Start without connections."""
        self._origin = httpcore.Origin(
            b'http',
            address.host.encode(),
            address.port,
        )
        self._host = str(address)
        self._outgoing_host = outgoing_host
        self._max_response_bytes = max_response_bytes
        self._budget = budget
        self._idle: deque[_IdleConnection] = deque()
        self._network = httpcore.AnyIOBackend()

    async def send(
        self,
        request: HttpRequest,
        *,
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        :param request: the request.
        :param fresh: use a new connection, which shows that the server is
            reachable.
        :raises WithdrawnError: if the request was withdrawn before.
        :raises NotSentError: if no byte of the request was sent.
        :raises ConnectionLostError: if the connection ended too early.
        :raises TimedOutError: if no complete response arrived in time.
        :raises InvalidResponseError: if the response is not valid.
        :raises ResponseTooLargeError: if it does not fit in memory.
        """
        if request.is_withdrawn is not None and request.is_withdrawn():
            raise WithdrawnError('the request is not wanted any more')
        connection = None if fresh else await self._acquire()
        tracker = _SendTracker(request, may_be_sent=connection is not None)
        if connection is None:
            connection = self._connect()
        keep = False
        try:
            with anyio.fail_after(request.timeout_s):
                response = await self._exchange(connection, request, tracker)
            keep = response.headers.get('connection', '') != 'close'
        except _CONNECT_ERRORS as error:
            raise NotSentError(f'{self._host}: {error}') from error
        except _CONNECTION_ERRORS as error:
            raise _classify(
                ConnectionLostError, tracker, f'{self._host}: {error}'
            ) from error
        except TimeoutError as error:
            problem = (
                f'{self._host}: no response within {request.timeout_s:.3f} s'
            )
            raise _classify(TimedOutError, tracker, problem) from error
        finally:
            await self._release(connection, keep=keep)
        return response

    async def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await _close(self._idle.popleft().connection)

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        request: HttpRequest,
        tracker: '_SendTracker',
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
                extensions=_build_extensions(request.timeout_s, tracker),
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
        if not _FIRST_STATUS <= response.status <= _LAST_STATUS:
            raise InvalidResponseError(
                f'{self._host}: {response.status} is no status of a response'
            )
        headers = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in response.headers
        }
        framed = 'content-length' in headers or 'transfer-encoding' in headers
        bodiless = response.status in _BODILESS or request.method == 'HEAD'
        if not framed and not bodiless:
            raise InvalidResponseError(
                f'{self._host}: the response has no length'
            )
        body = await self._read_body(response)
        reservation = self._budget.transfer(len(body))
        return HttpResponse(response.status, headers, body, reservation)

    async def _read_body(self, response: httpcore.Response) -> bytes:
        """Return the body, which counts as held."""
        body = bytearray()
        try:
            async for part in response.aiter_stream():
                body += part
                self._check_size(len(part), len(body))
        except BaseException:
            self._budget.release(len(body))
            body.clear()  # the traceback of the error refers to it
            raise
        return bytes(body)

    def _check_size(self, added_bytes: int, body_bytes: int) -> None:
        """Count received bytes; raise if the body is too large by now."""
        fits = self._budget.add(added_bytes, body_bytes)
        if body_bytes > self._max_response_bytes:
            raise InvalidResponseError(
                f'{self._host}: the response body is too large'
            )
        if not fits:
            raise ResponseTooLargeError(
                f'{self._host}: no memory is left for the response'
            )

    def _connect(self) -> httpcore.AsyncHTTPConnection:
        return httpcore.AsyncHTTPConnection(
            self._origin,
            local_address=self._outgoing_host,
            network_backend=self._network,
        )

    async def _acquire(self) -> httpcore.AsyncHTTPConnection | None:
        now_s = anyio.current_time()
        while self._idle:
            idle = self._idle.pop()
            stale = now_s - idle.since_s > _MAX_IDLE_S
            if not stale and not idle.connection.has_expired():
                return idle.connection
            await _close(idle.connection)
        return None

    async def _release(
        self,
        connection: httpcore.AsyncHTTPConnection,
        *,
        keep: bool,
    ) -> None:
        if keep and connection.is_idle():
            self._idle.append(_IdleConnection(connection, anyio.current_time()))
        else:
            await _close(connection)


class _SendTracker:
    """Tracks whether the first byte of a request may have been sent.

    Only requests on new connections are traced, since tracing costs time.
    Requests on reused connections always count as sent.
    """

    def __init__(self, request: HttpRequest, *, may_be_sent: bool) -> None:
        self.may_be_sent = may_be_sent
        self._is_withdrawn = request.is_withdrawn

    async def watch(self, event: str, _details: dict[str, Any]) -> None:
        if event != _FIRST_BYTE_EVENT:
            return
        if self._is_withdrawn is not None and self._is_withdrawn():
            raise WithdrawnError('withdrawn while its connection was opened')
        self.may_be_sent = True


def _build_extensions(
    timeout_s: float, tracker: _SendTracker
) -> dict[str, Any]:
    connect_s = min(timeout_s, _CONNECT_TIMEOUT_S)
    extensions: dict[str, Any] = {'timeout': {'connect': connect_s}}
    if not tracker.may_be_sent:
        extensions['trace'] = tracker.watch
    return extensions


def _classify(
    error_type: type[ConnectionLostError] | type[TimedOutError],
    tracker: _SendTracker,
    problem: str,
) -> OSError:
    if tracker.may_be_sent:
        return error_type(problem)
    return NotSentError(problem)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()
