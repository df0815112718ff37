"""Websocket connections that take little from peers without a key."""

from typing import Any, Final

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection

# The handshake and authentication take less than a tenth of it.
_MAX_UNAUTHENTICATED_BYTES: Final = 16_384


class _BoundedConnection(Connection):
    """Ends a connection that sends much before its peer has proved a key.

    The bounds of the library hold for a message, and count neither its frames
    nor what follows it.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start without a proof of the peer."""
        super().__init__(*arguments, **options)
        self.is_authenticated = False
        self._received_bytes = 0

    def data_received(self, received: bytes) -> None:
        """Handle received bytes; called by the event loop."""
        if not self.is_authenticated:
            self._received_bytes += len(received)
            if self._received_bytes > _MAX_UNAUTHENTICATED_BYTES:
                self.transport.abort()
                return
        super().data_received(received)


class PeerClientConnection(_BoundedConnection, ClientConnection):
    """Connection to a peer."""


class PeerServerConnection(_BoundedConnection, ServerConnection):
    """Connection from a peer."""
