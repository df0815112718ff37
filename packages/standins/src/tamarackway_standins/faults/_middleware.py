"""ASGI middleware that injects faults into a fake store."""

import json
import time
from collections import deque
from collections.abc import Awaitable, Callable, Collection, MutableMapping
from dataclasses import asdict, dataclass, replace
from typing import Any, Final

import anyio

_Message = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]
_App = Callable[[_Message, _Receive, _Send], Awaitable[None]]

FAULTS_PATH: Final = '/faults'
_POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Active faults of a fake store.

    :param down: respond to every request with 503.
    :param frozen: hold every request until this fault is cleared.
    :param lose_answers: apply requests, but hold their responses until this
        fault is cleared, then respond with 503.
    :param delay_s: delay before each request is applied, in seconds.
    :param rate_per_s: maximum accepted requests per second; 0 for no limit.
    """

    down: bool = False
    frozen: bool = False
    lose_answers: bool = False
    delay_s: float = 0
    rate_per_s: int = 0


class FaultInjectionMiddleware:
    """Applies the active faults to the requests of an application.

    :param app: wrapped application.
    :param control_paths: paths that no fault affects.

    ``GET /faults`` returns the faults, ``PUT /faults`` sets those given in the
    JSON body.
    """

    def __init__(self, app: _App, control_paths: Collection[str] = ()) -> None:
        """Wrap an application; no fault is active."""
        self.faults = StoreFaults()
        self._app = app
        self._control_paths = control_paths
        self._accepted_s: deque[float] = deque()

    async def __call__(
        self,
        scope: _Message,
        receive: _Receive,
        send: _Send,
    ) -> None:
        """Serve one request."""
        if scope['path'] == FAULTS_PATH:
            await self._serve_faults(scope, receive, send)
            return
        if scope['path'] in self._control_paths:
            await self._app(scope, receive, send)
            return
        await self._hold()
        if self.faults.down:
            await send_json(send, 503, {'error': 'down'})
        elif self._is_rate_limited():
            await send_json(send, 429, {'error': 'rate limit'})
        elif self.faults.lose_answers:
            await self._app(scope, receive, _discard)
            while self.faults.lose_answers:
                await anyio.sleep(_POLL_INTERVAL_S)
            await send_json(send, 503, {'error': 'answer lost'})
        else:
            await self._app(scope, receive, send)

    async def _hold(self) -> None:
        await anyio.sleep(self.faults.delay_s)
        while self.faults.frozen:
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _serve_faults(
        self,
        scope: _Message,
        receive: _Receive,
        send: _Send,
    ) -> None:
        if scope['method'] == 'PUT':
            changes = json.loads(await read_body(receive))
            self.faults = replace(self.faults, **changes)
        await send_json(send, 200, asdict(self.faults))

    def _is_rate_limited(self) -> bool:
        if not self.faults.rate_per_s:
            return False
        now_s = time.monotonic()
        while self._accepted_s and now_s - self._accepted_s[0] >= 1:
            self._accepted_s.popleft()
        if len(self._accepted_s) >= self.faults.rate_per_s:
            return True
        self._accepted_s.append(now_s)
        return False


async def read_body(receive: _Receive) -> bytes:
    """Return the complete body of an ASGI request."""
    body = b''
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    return body


async def send_json(send: _Send, status: int, document: Any) -> None:
    """Send a complete JSON response over ASGI."""
    body = json.dumps(document).encode()
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send({
        'type': 'http.response.start',
        'status': status,
        'headers': headers,
    })
    await send({'type': 'http.response.body', 'body': body})


async def _discard(_message: _Message) -> None:
    """Discard a message of the response."""
