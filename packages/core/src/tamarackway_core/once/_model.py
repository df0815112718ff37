"""Data classes for claims, responses and outcomes."""

import enum
from dataclasses import dataclass

from tamarackway_core.errors import Refusal


class Outcome(enum.StrEnum):
    """Outcome of a request, as reported to the caller.

    ``NOT_RUN`` is final: no target has run or will run this attempt or an
    earlier one of the same request. A later attempt may still run.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ClaimState(enum.StrEnum):
    """State of a claim row in the table.

    ``CLAIMED`` means that only the claimant knows whether the request ran.
    ``RAN`` rows contain the response or the key of its body. ``FREE`` means
    that the request did not run, so an attempt with a higher number may replace
    the claim.
    """

    CLAIMED = 'claimed'
    RAN = 'ran'
    FREE = 'free'


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of a target.

    :param status: HTTP status.
    :param content_type: media type of the body.
    :param body: the body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcome of a request with its response or refusal, for the caller.

    :param outcome: whether the request ran.
    :param answer: response of the target, present if and only if it ran.
    :param refusal: otherwise, why there is no response.
    """

    outcome: Outcome
    answer: Response | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A claim row, as stored in the table.

    :param token: unique identifier of one attempt of one entry instance.
    :param claimant: name of the entry instance.
    :param incarnation: incarnation of the entry instance.
    :param digest: SHA-256 digest of the request.
    :param attempt: attempt number given by the caller.
    :param state: state of the claim.
    :param status: HTTP status of the stored response, or 0 without one.
    :param content_type: media type of the stored response.
    :param body: body of the stored response, unless it is in the object store.
    :param object_key: key of the body in the object store, if it is there.
    """

    token: str
    claimant: str
    incarnation: str
    digest: str
    attempt: int
    state: ClaimState
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    object_key: str = ''
