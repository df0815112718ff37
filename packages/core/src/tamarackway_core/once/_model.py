"""Frozen data classes for claims, answers and outcomes."""

import enum
from dataclasses import dataclass

from tamarackway_core.errors import Refusal


class Outcome(enum.StrEnum):
    """What the caller is told of a request.

    ``NOT_RUN`` is a promise: no target ran this sending or an earlier one of
    the same request, and none will. A later sending may still run.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ClaimState(enum.StrEnum):
    """State of a claim row in the table."""

    CLAIMED = 'claimed'
    RAN = 'ran'
    FREE = 'free'


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer of a target.

    :param status: HTTP status.
    :param content_type: media type of the body.
    :param body: all bytes of the body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RunResult:
    """How a request ended, as the caller is told.

    :param outcome: whether the request ran.
    :param answer: the target's answer, present if and only if it ran.
    :param refusal: why there is no answer otherwise.
    """

    outcome: Outcome
    answer: Response | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """A claim row, as the table holds it.

    :param token: unique to one attempt of one entry instance.
    :param claimant: name of the entry instance.
    :param incarnation: incarnation of the entry instance.
    :param digest: SHA-256 of the request.
    :param attempt: number that the caller gave to this sending.
    :param state: state of the claim.
    :param status: HTTP status of the stored answer, or 0 without one.
    :param content_type: media type of the stored answer.
    :param body: bytes of the stored answer, if they are few.
    :param object_key: where the object store has them otherwise.
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
