"""CBOR codec for messages between entry instances."""

import types
from dataclasses import dataclass
from typing import Any, Final, get_args

import cbor2
import msgspec

from tamarackway_core.errors import SettingsError, WireError
from tamarackway_core.wire._messages import Message

MAX_MESSAGE_BYTES: Final = 8 * 1024 * 1024
_KINDS: Final = types.MappingProxyType({
    kind.__name__: kind for kind in get_args(Message)
})
_MAX_QUOTED: Final = 64
_REMEDY: Final = 'run the same release on all entry instances'


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with a number that correlates requests and replies.

    :param number: chosen by the sender of a request, repeated in its reply.
    :param message: the message.
    """

    number: int
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Return the CBOR encoding of an envelope."""
    kind = type(envelope.message).__name__
    body = msgspec.to_builtins(
        envelope.message,
        builtin_types=(bytes,),
    )
    return cbor2.dumps([envelope.number, kind, body])


def decode(frame: bytes) -> Envelope:
    """Return the envelope encoded in a CBOR frame.

    :param frame: payload of one websocket message.
    :raises WireError: if the frame is not a valid envelope.
    """
    try:
        parts = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise WireError(
            f'the frame is not valid CBOR: {error}', _REMEDY
        ) from error
    return _convert(parts)


def _convert(parts: Any) -> Envelope:
    try:
        number, kind, body = msgspec.convert(parts, tuple[int, str, Any])
    except msgspec.ValidationError as error:
        raise WireError(
            f'the frame is not a valid envelope: {error}', _REMEDY
        ) from error
    if kind not in _KINDS:
        raise WireError(
            f'{kind[:_MAX_QUOTED]!r} is not a known message type', _REMEDY
        )
    try:
        message = msgspec.convert(body, _KINDS[kind])
    except (msgspec.ValidationError, SettingsError) as error:
        raise WireError(
            f'the message is not a valid {kind}: {error}', _REMEDY
        ) from error
    return Envelope(number, message)
