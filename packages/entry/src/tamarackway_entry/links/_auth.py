"""Mutual authentication with a shared key, by challenge and response."""

import hashlib
import hmac
import secrets
from collections.abc import Sequence
from typing import Final, Protocol

import anyio

NONCE_BYTES: Final = 32
_AUTHENTICATION_TIMEOUT_S: Final = 2.0


class FrameTransport(Protocol):
    """What authentication needs of a websocket connection."""

    is_authenticated: bool

    async def send(self, message: bytes, /) -> None:
        """Send one binary frame."""

    async def recv(self) -> str | bytes:
        """Return the next frame."""


async def authenticate(
    transport: FrameTransport,
    keys: Sequence[str],
    role: str,
) -> bool:
    """Authenticate both sides and return whether the peer proved a key.

    The transport is marked before this side proves its own key: the peer may
    send requests as soon as it has read that proof.

    :param transport: the connection.
    :param keys: shared secrets, all of which are accepted. A client signs with
        the first one, a server with the one that the client has proved.
    :param role: ``client`` or ``server``, which prevents reflection attacks.

    Each side sends a nonce, then the HMAC-SHA256 over its role and both
    nonces. The server sends its proof only after it has verified the proof of
    the client, so an unauthenticated client sees nothing but a nonce.
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    with anyio.move_on_after(_AUTHENTICATION_TIMEOUT_S):
        await transport.send(own_nonce)
        peer_nonce = await transport.recv()
        if not isinstance(peer_nonce, bytes) or len(peer_nonce) != NONCE_BYTES:
            return False
        if role == 'client':
            await transport.send(_sign(keys[0], role, own_nonce, peer_nonce))
            proved = _find_key(
                await transport.recv(),
                keys,
                'server',
                peer_nonce,
                own_nonce,
            )
            transport.is_authenticated = proved is not None
            return transport.is_authenticated
        proved = _find_key(
            await transport.recv(),
            keys,
            'client',
            peer_nonce,
            own_nonce,
        )
        transport.is_authenticated = proved is not None
        if proved is not None:
            await transport.send(_sign(proved, role, own_nonce, peer_nonce))
            return True
    return False


def _sign(key: str, role: str, own_nonce: bytes, peer_nonce: bytes) -> bytes:
    text = role.encode() + own_nonce + peer_nonce
    return hmac.digest(key.encode(), text, hashlib.sha256)


def _find_key(
    proof: str | bytes,
    keys: Sequence[str],
    role: str,
    own_nonce: bytes,
    peer_nonce: bytes,
) -> str | None:
    """Return the key that a proof is signed with, or None."""
    if not isinstance(proof, bytes):
        return None
    matches = [
        key
        for key in keys
        if hmac.compare_digest(proof, _sign(key, role, own_nonce, peer_nonce))
    ]
    return matches[0] if matches else None
