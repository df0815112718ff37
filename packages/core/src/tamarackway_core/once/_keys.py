"""Idempotency keys: version 7 UUIDs, which tell when they were made."""

import datetime as dt
import hashlib
import uuid
from typing import Final

from tamarackway_core.errors import Reason, Refusal

KEY_LIFETIME_S: Final = 2_592_000.0
_MAX_CLOCK_SKEW_S: Final = 300.0
_UUID_VERSION: Final = 7
_TIMESTAMP_SHIFT: Final = 80
_MS_PER_S: Final = 1000
_MAX_SHOWN: Final = 64


def parse_key(text: str, now_s: float) -> uuid.UUID | Refusal:
    """Return the idempotency key, or the refusal of an unusable one.

    :param text: the header as the caller sent it.
    :param now_s: seconds since the epoch.

    A key is refused once it is older than its lifetime, because its claim may
    have been removed from the table by then.
    """
    if not text:
        return Refusal(Reason.KEY_MISSING, 'the idempotency-key is missing')
    try:
        key = uuid.UUID(text)
    except ValueError:
        return Refusal(
            Reason.KEY_INVALID, f'{text[:_MAX_SHOWN]!r} is not a UUID'
        )
    if key.version != _UUID_VERSION:
        return Refusal(Reason.KEY_INVALID, f'{key} is not a version 7 UUID')
    age_s = now_s - _made_at_s(key)
    if age_s < -_MAX_CLOCK_SKEW_S:
        return Refusal(Reason.KEY_INVALID, f'{key} is from the future')
    if age_s > KEY_LIFETIME_S:
        return Refusal(Reason.KEY_EXPIRED, f'{key} is too old')
    return key


def claim_day(at_s: float) -> str:
    """Return the UTC day of a time as the prefix of claim rows.

    :param at_s: seconds since the epoch.

    >>> claim_day(0)
    '19700101'
    """
    moment = dt.datetime.fromtimestamp(at_s, dt.UTC)
    return moment.strftime('%Y%m%d')


def claim_row_key(service: str, key: uuid.UUID) -> str:
    """Return the row key of a claim, which starts with the key's day.

    :param service: service of the request; keys are scoped to it.
    :param key: idempotency key.
    """
    return f'{claim_day(_made_at_s(key))}/{service}/{key}'


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the SHA-256 of a request in hexadecimal digits."""
    digest = hashlib.sha256(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def _made_at_s(key: uuid.UUID) -> float:
    return (key.int >> _TIMESTAMP_SHIFT) / _MS_PER_S
