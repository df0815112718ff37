"""Reasons for refusing requests, and their remedies."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class Reason(enum.StrEnum):
    """Reason for not serving a request."""

    UNKNOWN_SERVICE = 'unknown-service'
    NO_PLAN = 'no-plan'
    NO_TARGET = 'no-target'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    REGION_CAP = 'region-cap'
    QUARANTINED = 'quarantined'
    KEY_MISSING = 'key-missing'
    KEY_INVALID = 'key-invalid'
    KEY_EXPIRED = 'key-expired'
    KEY_REUSED = 'key-reused'
    SETTLED = 'settled'
    STORE_UNAVAILABLE = 'store-unavailable'
    TARGET_SHED = 'target-shed'
    TARGET_UNREACHABLE = 'target-unreachable'
    TARGET_LOST = 'target-lost'
    CLAIMANT_LOST = 'claimant-lost'
    BODY_TOO_LARGE = 'body-too-large'
    MALFORMED = 'malformed'
    STOPPING = 'stopping'


_RETRY: Final = 'send the request again after retry_after_s'
_NEW_KEY: Final = 'ask POST /v1/keys for an idempotency key'

REMEDIES: Final = MappingProxyType({
    Reason.UNKNOWN_SERVICE: 'use a service that the sheet in force declares',
    Reason.NO_PLAN: 'submit a sheet with tamarackctl plan submit',
    Reason.NO_TARGET: 'start a target or remove its leave row from the sheet',
    Reason.QUEUE_FULL: _RETRY,
    Reason.DEADLINE: 'set a longer deadline or send the request again',
    Reason.REGION_CAP: 'raise the capacity row in the sheet or retry later',
    Reason.QUARANTINED: 'do not resend it: targets crashed while running it',
    Reason.KEY_MISSING: _NEW_KEY,
    Reason.KEY_INVALID: _NEW_KEY,
    Reason.KEY_EXPIRED: 'check manually whether it ran; its key has expired',
    Reason.KEY_REUSED: 'use a new idempotency key for a different request',
    Reason.SETTLED: 'send the request again with a higher x-request-attempt',
    Reason.STORE_UNAVAILABLE: _RETRY,
    Reason.TARGET_SHED: _RETRY,
    Reason.TARGET_UNREACHABLE: _RETRY,
    Reason.TARGET_LOST: 'resend with the same key to get the outcome',
    Reason.CLAIMANT_LOST: 'check manually whether the request ran',
    Reason.BODY_TOO_LARGE: 'send a smaller body',
    Reason.MALFORMED: 'correct the request as docs/CALLERS.md shows',
    Reason.STOPPING: 'ask GET /v1/entries for another entry instance',
})


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request.

    :param reason: reason of the refusal.
    :param detail: details for the caller.
    :param retry_after_s: delay after which to retry, in seconds.
    """

    reason: Reason
    detail: str = ''
    retry_after_s: float = 0

    @property
    def remedy(self) -> str:
        """What the caller or operator can do to resolve it."""
        return REMEDIES[self.reason]
