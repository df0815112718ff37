"""Connection to a peer that carries requests and replies."""

import itertools
import random
from collections.abc import Sequence
from typing import Any, Final, cast

import anyio
import websockets
from tamarackway_core.errors import WireError
from tamarackway_core.places import Address
from tamarackway_core.recovery import Backoff
from tamarackway_core.wire import (
    MAX_MESSAGE_BYTES,
    Envelope,
    Message,
    decode,
    encode,
)
from websockets.asyncio.client import ClientConnection, connect

from tamarackway_entry.links._auth import authenticate
from tamarackway_entry.links._connections import PeerClientConnection
from tamarackway_entry.telemetry import component_logger

_CONNECT_TIMEOUT_S: Final = 2.0
_FIRST_RETRY_S: Final = 0.1
_MAX_RETRY_S: Final = 1.0
_CONNECTION_ERRORS: Final = (OSError, websockets.WebSocketException, WireError)
_log = component_logger('peers')


class PeerUnreachableError(OSError):
    """The peer cannot be reached; retry after its next heartbeat."""


class _PendingRequest:
    """A request that awaits its reply."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: Message | None = None


class PeerLink:
    """Maintains a connection to one peer and sends requests over it.

    :param address: address of the peer.
    :param outgoing_host: local IP address of the connection.
    :param keys: shared secrets, which the owner may change. Each connection
        tries the next one if the peer did not accept the last.
    """

    def __init__(
        self,
        address: Address,
        outgoing_host: str,
        keys: Sequence[str],
    ) -> None:
        """Start without a connection."""
        self.address = address
        self._outgoing_host = outgoing_host
        self._keys = keys
        self._refused = 0
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Connect, and reconnect after failures, until cancelled."""
        backoff = Backoff(_FIRST_RETRY_S, _MAX_RETRY_S, random.Random())  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        while True:
            try:
                await self._connect_and_read(backoff)
            except _CONNECTION_ERRORS as error:
                _log.debug('Connection to %s ended: %s.', self.address, error)
            finally:
                self._drop_connection()
            await anyio.sleep(backoff.next_s())

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Send a request and return its reply.

        :param message: the request.
        :param timeout_s: maximum time to wait for the reply in seconds.
        :raises PeerUnreachableError: if no reply arrives in time.
        """
        connection = self._connection
        if connection is None:
            raise PeerUnreachableError(f'not connected to {self.address}')
        number = next(self._request_numbers)
        pending = _PendingRequest()
        self._pending[number] = pending
        try:
            with anyio.move_on_after(timeout_s):
                await connection.send(encode(Envelope(number, message)))
                await pending.done.wait()
        except _CONNECTION_ERRORS as error:
            raise PeerUnreachableError(str(error)) from error
        finally:
            self._pending.pop(number, None)
        if pending.reply is None:
            raise PeerUnreachableError(f'{self.address} did not reply in time')
        return pending.reply

    async def reset(self) -> None:
        """Abort the connection and fail the pending requests."""
        connection = self._connection
        self._drop_connection()
        if connection is not None:
            connection.transport.abort()

    async def _connect_and_read(self, backoff: Backoff) -> None:
        options: dict[str, Any] = {
            'local_addr': (self._outgoing_host, 0),
            'max_size': MAX_MESSAGE_BYTES,
            'open_timeout': _CONNECT_TIMEOUT_S,
            'close_timeout': _FIRST_RETRY_S,
            'ping_interval': None,
            'compression': None,
            'proxy': None,
            'create_connection': PeerClientConnection,
        }
        async with connect(f'ws://{self.address}/', **options) as connection:
            transport = cast(PeerClientConnection, connection)
            keys = self._rotate_keys()
            self._refused += 1
            if not await authenticate(transport, keys, 'client'):
                _log.warning(
                    '%s failed peer authentication.',
                    self.address,
                )
                return
            self._refused = 0
            self._connection = connection
            backoff.reset()
            async for frame in connection:
                self._handle_frame(frame)

    def _rotate_keys(self) -> Sequence[str]:
        """Return the keys, with the one that is tried next in front."""
        first = self._refused % len(self._keys)
        return (*self._keys[first:], *self._keys[:first])

    def _handle_frame(self, frame: str | bytes) -> None:
        if not isinstance(frame, bytes):
            raise WireError('received a text frame', 'send binary frames')
        envelope = decode(frame)
        pending = self._pending.get(envelope.number)
        if pending is not None:
            pending.reply = envelope.message
            pending.done.set()

    def _drop_connection(self) -> None:
        self._connection = None
        for pending in self._pending.values():
            pending.done.set()
