"""CBOR codec for messages between entry instances."""

import types
from dataclasses import dataclass
from typing import Any, Final, get_args

import cbor2
import msgspec

from tamarackway_core.errors import WireError
from tamarackway_core.wire._messages import Message

MAX_MESSAGE_BYTES: Final = 8 * 1024 * 1024
_KINDS: Final = types.MappingProxyType({
    kind.__name__: kind for kind in get_args(Message)
})
_MAX_SHOWN: Final = 64
_REMEDY: Final = 'run the same release on all entry instances'


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the number that pairs a request with its reply.

    :param number: chosen by the sender of the request; the reply repeats it.
    :param message: the message.
    """

    number: int
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Return an envelope as CBOR."""
    kind = type(envelope.message).__name__
    body = msgspec.to_builtins(
        envelope.message,
        builtin_types=(bytes,),
    )
    return cbor2.dumps([envelope.number, kind, body])


def decode(frame: bytes) -> Envelope:
    """Return the envelope in a CBOR frame.

    :param frame: bytes of one websocket message.
    :raises WireError: if the frame holds anything else.
    """
    try:
        parts = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise WireError(f'the frame is not CBOR: {error}', _REMEDY) from error
    return _convert(parts)


def _convert(parts: Any) -> Envelope:
    try:
        number, kind, body = msgspec.convert(parts, tuple[int, str, Any])
    except msgspec.ValidationError as error:
        raise WireError(f'not an envelope: {error}', _REMEDY) from error
    if kind not in _KINDS:
        raise WireError(f'{kind[:_MAX_SHOWN]!r} is no kind of message', _REMEDY)
    try:
        message = msgspec.convert(body, _KINDS[kind])
    except msgspec.ValidationError as error:
        raise WireError(f'not a {kind}: {error}', _REMEDY) from error
    return Envelope(number, message)
