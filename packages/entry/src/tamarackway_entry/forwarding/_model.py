"""Requests and answers as every front door hands them on."""

import enum
from dataclasses import dataclass


class Origin(enum.StrEnum):
    """Who made an answer."""

    TARGET = 'target'
    REFUSAL = 'refusal'
    FAILURE = 'failure'


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A whole request of a caller.

    :param request_id: identifier that the caller gave it.
    :param host: host that it names.
    :param method: HTTP method.
    :param path: path without the query.
    :param path_and_query: path and query as received.
    :param headers: headers to be passed on, as received.
    :param body: all bytes of the body.
    :param affinity_key: what targets may remember of it; empty if nothing.
    :param received_s: monotonic time of its receipt.
    :param timeout_s: how long the caller waits for the answer.
    """

    request_id: str
    host: str
    method: str
    path: str
    path_and_query: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    affinity_key: str
    received_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """What the caller gets.

    :param status: HTTP status.
    :param origin: who made the answer; a refusal promises that the request
        did not run and never will.
    :param headers: headers of a target's answer.
    :param body: all bytes of the body.
    :param reason: why this instance refused or failed, for logs.
    :param retry_after_s: when the caller may come back, or 0.
    """

    status: int
    origin: Origin
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    reason: str = ''
    retry_after_s: float = 0
