"""Connection to one other entry instance."""

import itertools
import random
from collections.abc import Sequence
from typing import Any, Final

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

from tamarackway_entry.links._auth import prove
from tamarackway_entry.telemetry import component_logger

_CONNECT_TIMEOUT_S: Final = 2.0
_FIRST_WAIT_S: Final = 0.1
_LONGEST_WAIT_S: Final = 1.0
_FAILURES: Final = (OSError, websockets.WebSocketException, WireError)
_log = component_logger('peers')


class PeerUnreachableError(OSError):
    """The peer cannot be reached now; try again after its next heartbeat."""


class _Pending:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.reply: Message | None = None


class PeerLink:
    """Keeps a connection to one peer and sends requests over it.

    :param address: address of the peer.
    :param outgoing_host: IP number that the connection comes from.
    :param keys: shared secrets.
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
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._connection: ClientConnection | None = None

    async def run(self) -> None:
        """Connect, and connect again after a loss, until cancelled."""
        backoff = Backoff(_FIRST_WAIT_S, _LONGEST_WAIT_S, random.Random())  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        while True:
            try:
                await self._connect_and_read(backoff)
            except _FAILURES as error:
                _log.debug('The link to %s ended: %s.', self.address, error)
            finally:
                self._drop()
            await anyio.sleep(backoff.next_s())

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Send a request and return its reply.

        :param message: the request.
        :param timeout_s: longest wait for the reply in seconds.
        :raises PeerUnreachableError: if there is no reply in time.
        """
        connection = self._connection
        if connection is None:
            raise PeerUnreachableError(
                f'there is no connection to {self.address}'
            )
        number = next(self._numbers)
        pending = _Pending()
        self._pending[number] = pending
        try:
            with anyio.move_on_after(timeout_s):
                await connection.send(encode(Envelope(number, message)))
                await pending.done.wait()
        except _FAILURES as error:
            raise PeerUnreachableError(str(error)) from error
        finally:
            self._pending.pop(number, None)
        if pending.reply is None:
            raise PeerUnreachableError(f'{self.address} did not reply in time')
        return pending.reply

    async def reset(self) -> None:
        """Close the connection, which has gone silent."""
        connection = self._connection
        self._drop()
        if connection is not None:
            connection.transport.abort()

    async def _connect_and_read(self, backoff: Backoff) -> None:
        options: dict[str, Any] = {
            'local_addr': (self._outgoing_host, 0),
            'max_size': MAX_MESSAGE_BYTES,
            'open_timeout': _CONNECT_TIMEOUT_S,
            'close_timeout': _FIRST_WAIT_S,
            'ping_interval': None,
            'compression': None,
            'proxy': None,
        }
        async with connect(f'ws://{self.address}/', **options) as connection:
            if not await prove(connection, self._keys, 'client'):
                _log.warning('%s did not prove a peer key.', self.address)
                return
            self._connection = connection
            backoff.reset()
            async for frame in connection:
                self._take(frame)

    def _take(self, frame: str | bytes) -> None:
        if not isinstance(frame, bytes):
            raise WireError('a text frame', 'send binary frames')
        envelope = decode(frame)
        pending = self._pending.get(envelope.number)
        if pending is not None:
            pending.reply = envelope.message
            pending.done.set()

    def _drop(self) -> None:
        self._connection = None
        for pending in self._pending.values():
            pending.done.set()
