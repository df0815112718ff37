"""Reasons for which a request is refused, as sentinel values."""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final


class Reason(enum.StrEnum):
    """Why a request was not served."""

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


_RESEND: Final = 'send the request again after retry_after_s'
_NEW_KEY: Final = 'ask POST /v1/keys for an idempotency key'

REMEDIES: Final = MappingProxyType({
    Reason.UNKNOWN_SERVICE: 'use a service that the sheet in force declares',
    Reason.NO_PLAN: 'submit a sheet with tamarackctl plan submit',
    Reason.NO_TARGET: 'start a target or end its leave row in the sheet',
    Reason.QUEUE_FULL: _RESEND,
    Reason.DEADLINE: 'allow a longer deadline or send the request again',
    Reason.REGION_CAP: 'raise the capacity row in the sheet or send it later',
    Reason.QUARANTINED: 'do not resend it: targets died while running it',
    Reason.KEY_MISSING: _NEW_KEY,
    Reason.KEY_INVALID: _NEW_KEY,
    Reason.KEY_EXPIRED: 'check by hand whether it ran; its key is too old',
    Reason.KEY_REUSED: 'use a new idempotency key for a different request',
    Reason.SETTLED: 'send it again with a higher x-request-attempt',
    Reason.STORE_UNAVAILABLE: _RESEND,
    Reason.TARGET_SHED: _RESEND,
    Reason.TARGET_UNREACHABLE: _RESEND,
    Reason.TARGET_LOST: 'resend with the same key to learn the outcome',
    Reason.CLAIMANT_LOST: 'check by hand whether the request ran',
    Reason.BODY_TOO_LARGE: 'send a smaller body',
    Reason.MALFORMED: 'correct the request as docs/CALLERS.md shows',
    Reason.STOPPING: 'ask GET /v1/entries for another entry instance',
})


@dataclass(frozen=True, slots=True)
class Refusal:
    """A decision not to serve a request.

    :param reason: why.
    :param detail: particulars for the reader of the answer.
    :param retry_after_s: earliest useful time of a resend, in seconds.
    """

    reason: Reason
    detail: str = ''
    retry_after_s: float = 0

    @property
    def remedy(self) -> str:
        """What the caller or operator can do."""
        return REMEDIES[self.reason]
