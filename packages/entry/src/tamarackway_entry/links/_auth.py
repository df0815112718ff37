"""Mutual proof of a shared key, by challenge and response."""

import hashlib
import hmac
import secrets
from collections.abc import Sequence
from typing import Final, Protocol

import anyio

NONCE_BYTES: Final = 32
_TIMEOUT_S: Final = 2.0


class Frames(Protocol):
    """The part of a websocket connection that the proof needs."""

    async def send(self, message: bytes, /) -> None:
        """Send one binary frame."""

    async def recv(self) -> str | bytes:
        """Return the next frame."""


async def prove(frames: Frames, keys: Sequence[str], role: str) -> bool:
    """Prove a key to the other side and return whether it proved one too.

    :param frames: the connection.
    :param keys: shared secrets; the first one signs, all are accepted.
    :param role: ``client`` or ``server``, so that no proof can be reflected.

    Each side sends a nonce, then the HMAC-SHA256 over its role and both
    nonces. A stranger sees only nonces before it has to prove a key; the
    server sends its proof after the client's proof was right.
    """
    own = secrets.token_bytes(NONCE_BYTES)
    with anyio.move_on_after(_TIMEOUT_S):
        await frames.send(own)
        other = await frames.recv()
        if not isinstance(other, bytes) or len(other) != NONCE_BYTES:
            return False
        if role == 'client':
            await frames.send(_sign(keys[0], role, own, other))
            return _check(await frames.recv(), keys, 'server', other, own)
        if not _check(await frames.recv(), keys, 'client', other, own):
            return False
        await frames.send(_sign(keys[0], role, own, other))
        return True
    return False


def _sign(key: str, role: str, own: bytes, other: bytes) -> bytes:
    text = role.encode() + own + other
    return hmac.digest(key.encode(), text, hashlib.sha256)


def _check(
    proof: str | bytes,
    keys: Sequence[str],
    role: str,
    own: bytes,
    other: bytes,
) -> bool:
    if not isinstance(proof, bytes):
        return False
    matches = [
        hmac.compare_digest(proof, _sign(key, role, own, other)) for key in keys
    ]
    return any(matches)
