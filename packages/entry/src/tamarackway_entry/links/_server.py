"""Accepts connections of other entry instances."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import anyio
import websockets
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

from tamarackway_entry.links._auth import prove
from tamarackway_entry.telemetry import component_logger

_OPEN_TIMEOUT_S: Final = 2.0
_MAX_STRANGERS: Final = 64
_STRANGER: Final = 1008
_log = component_logger('peers')
Handler = Callable[[Message], Awaitable[Message]]


class PeerServer:
    """Serves requests of peers that prove a key.

    :param address: address to listen on.
    :param keys: shared secrets.
    :param handler: answers one message.
    """

    def __init__(
        self,
        address: Address,
        keys: Sequence[str],
        handler: Handler,
    ) -> None:
        """Remember where to listen."""
        self._address = address
        self._keys = keys
        self._handler = handler
        self._strangers = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with serve(
            self._serve,
            self._address.host,
            self._address.port,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=_OPEN_TIMEOUT_S,
            ping_interval=None,
            compression=None,
            server_header=None,
        ):
            await anyio.sleep_forever()

    async def _serve(self, connection: ServerConnection) -> None:
        if self._strangers >= _MAX_STRANGERS:
            await connection.close(_STRANGER)
            return
        self._strangers += 1
        try:
            proved = await prove(connection, self._keys, 'server')
        except websockets.WebSocketException:
            proved = False
        finally:
            self._strangers -= 1
        if not proved:
            host = connection.remote_address
            _log.warning('A stranger from %s proved no peer key.', host)
            await connection.close(_STRANGER)
            return
        await self._serve_peer(connection)

    async def _serve_peer(self, connection: ServerConnection) -> None:
        async with anyio.create_task_group() as group:
            try:
                async for frame in connection:
                    envelope = _decode_frame(frame)
                    group.start_soon(self._answer, connection, envelope)
            except WireError as error:
                host = connection.remote_address
                _log.warning('Bad message from %s: %s.', host, error)
            except websockets.ConnectionClosed:
                _log.debug('A peer closed its connection.')
            group.cancel_scope.cancel()

    async def _answer(
        self,
        connection: ServerConnection,
        envelope: Envelope,
    ) -> None:
        reply = await self._handler(envelope.message)
        try:
            await connection.send(encode(Envelope(envelope.number, reply)))
        except websockets.ConnectionClosed:
            _log.debug('A peer left before its reply.')


def _decode_frame(frame: str | bytes) -> Envelope:
    if not isinstance(frame, bytes):
        raise WireError('a text frame', 'send binary frames')
    return decode(frame)
