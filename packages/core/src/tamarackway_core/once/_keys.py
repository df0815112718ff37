"""Idempotency keys: version 7 UUIDs, which contain their creation time."""

import datetime as dt
import hashlib
import uuid
from typing import Final

from tamarackway_core.errors import Reason, Refusal

KEY_LIFETIME_S: Final = 2_592_000.0  # 30 days
_MAX_CLOCK_SKEW_S: Final = 300.0
_UUID_VERSION: Final = 7
_TIMESTAMP_SHIFT: Final = 80  # the first 48 of 128 bits are a time in ms
_MS_PER_S: Final = 1000
_MAX_QUOTED: Final = 64  # characters of an invalid key in the message


def parse_key(text: str, now_s: float) -> uuid.UUID | Refusal:
    """Return the idempotency key, or a refusal if it is not acceptable.

    :param text: value of the request header, or an empty string without one.
    :param now_s: seconds since the epoch.

    A key older than its lifetime is refused, since its claim may have been
    removed from the table.
    """
    if not text:
        return Refusal(
            Reason.KEY_MISSING, 'the idempotency-key header is missing'
        )
    try:
        key = uuid.UUID(text)
    except ValueError:
        return Refusal(
            Reason.KEY_INVALID, f'{text[:_MAX_QUOTED]!r} is not a UUID'
        )
    if key.version != _UUID_VERSION:
        return Refusal(Reason.KEY_INVALID, f'{key} is not a version 7 UUID')
    age_s = now_s - created_at_s(key)
    if age_s < -_MAX_CLOCK_SKEW_S:
        return Refusal(
            Reason.KEY_INVALID, f'{key} has a creation time in the future'
        )
    if age_s > KEY_LIFETIME_S:
        return Refusal(Reason.KEY_EXPIRED, f'{key} has expired')
    return key


def claim_day(at_s: float) -> str:
    """Return the UTC date of a time, as used in the keys of claim rows.

    :param at_s: seconds since the epoch.

    >>> claim_day(0)
    '19700101'
    """
    moment = dt.datetime.fromtimestamp(at_s, dt.UTC)
    return moment.strftime('%Y%m%d')


def claim_row_key(service: str, key: uuid.UUID) -> str:
    """Return the row key of a claim, which starts with the date of its key.

    :param service: service of the request; keys are unique per service.
    :param key: idempotency key, which contains its creation time.
    """
    return f'{claim_day(created_at_s(key))}/{service}/{key}'


def may_precede(row_key: str, at_s: float) -> bool:
    """Return whether a key may have been created before a time.

    :param row_key: row key of a claim.
    :param at_s: seconds since the epoch, by the clock of this instance.
    """
    key = uuid.UUID(row_key.rpartition('/')[2])
    return created_at_s(key) < at_s + _MAX_CLOCK_SKEW_S


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a request."""
    digest = hashlib.sha256(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def created_at_s(key: uuid.UUID) -> float:
    """Return the creation time of a key in seconds since the epoch."""
    return (key.int >> _TIMESTAMP_SHIFT) / _MS_PER_S
