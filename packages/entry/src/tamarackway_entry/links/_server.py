"""Server for authenticated connections from peers."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final, cast

import anyio
import websockets
from anyio.abc import TaskGroup
from tamarackway_core.errors import WireError
from tamarackway_core.places import Address
from tamarackway_core.wire import (
    MAX_MESSAGE_BYTES,
    Envelope,
    Message,
    decode,
    encode,
)
from websockets.asyncio.server import ServerConnection, serve

from tamarackway_entry.links._auth import authenticate
from tamarackway_entry.links._connections import PeerServerConnection
from tamarackway_entry.telemetry import component_logger

_OPEN_TIMEOUT_S: Final = 2.0
_CLOSE_TIMEOUT_S: Final = 1.0
_MAX_UNAUTHENTICATED: Final = 64
_IDLE_TIMEOUT_S: Final = 30.0  # several times the longest heartbeat interval
_POLICY_VIOLATION: Final = 1008
_log = component_logger('peers')
Handler = Callable[[Message], Awaitable[Message]]


class PeerServer:
    """Authenticates peers and answers their requests.

    :param address: address to listen on.
    :param keys: shared secrets.
    :param handler: returns the reply to a request.
    :param idle_timeout_s: time without a request after which a peer is
        disconnected, since it may have ended without closing its connection.
    """

    def __init__(
        self,
        address: Address,
        keys: Sequence[str],
        handler: Handler,
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
    ) -> None:
        """Create a server that does not listen yet."""
        self._idle_timeout_s = idle_timeout_s
        self._address = address
        self._keys = keys
        self._handler = handler
        self._unauthenticated = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with serve(
            self._serve,
            self._address.host,
            self._address.port,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=_OPEN_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
            ping_interval=None,
            compression=None,
            server_header=None,
            create_connection=PeerServerConnection,
        ):
            await anyio.sleep_forever()

    async def _serve(self, connection: ServerConnection) -> None:
        if self._unauthenticated >= _MAX_UNAUTHENTICATED:
            await connection.close(_POLICY_VIOLATION)
            return
        self._unauthenticated += 1
        try:
            is_authenticated = await authenticate(
                cast(PeerServerConnection, connection),
                self._keys,
                'server',
            )
        except websockets.WebSocketException:
            is_authenticated = False
        finally:
            self._unauthenticated -= 1
        if not is_authenticated:
            host = connection.remote_address
            _log.warning('Unauthenticated connection from %s refused.', host)
            await connection.close(_POLICY_VIOLATION)
            return
        await self._serve_peer(connection)

    async def _serve_peer(self, connection: ServerConnection) -> None:
        async with anyio.create_task_group() as group:
            try:
                await self._read_requests(connection, group)
            except WireError as error:
                host = connection.remote_address
                _log.warning('Malformed message from %s: %s.', host, error)
            except websockets.ConnectionClosed:
                _log.debug('A peer closed its connection.')
            except TimeoutError:
                host = connection.remote_address
                _log.info('Disconnected %s, which sends no heartbeats.', host)
                connection.transport.abort()
            group.cancel_scope.cancel()

    async def _read_requests(
        self, connection: ServerConnection, group: TaskGroup
    ) -> None:
        while True:
            with anyio.fail_after(self._idle_timeout_s):
                frame = await connection.recv()
            envelope = _decode_frame(frame)
            group.start_soon(self._handle_request, connection, envelope)

    async def _handle_request(
        self,
        connection: ServerConnection,
        envelope: Envelope,
    ) -> None:
        reply = await self._handler(envelope.message)
        try:
            await connection.send(encode(Envelope(envelope.number, reply)))
        except websockets.ConnectionClosed:
            _log.debug('A peer disconnected before its reply was sent.')


def _decode_frame(frame: str | bytes) -> Envelope:
    if not isinstance(frame, bytes):
        raise WireError('received a text frame', 'send binary frames')
    return decode(frame)
