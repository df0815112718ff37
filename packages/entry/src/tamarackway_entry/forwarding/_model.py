"""Requests and responses, independent of the listener."""

import enum
from dataclasses import dataclass, field

from tamarackway_entry.memory import Reservation


class Origin(enum.StrEnum):
    """What produced a response.

    A target; this instance, which refused the request; or this instance, since
    it has no route for the request or cannot tell whether a target ran it.
    """

    TARGET = 'target'
    REFUSAL = 'refusal'
    FAILURE = 'failure'


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A complete request of a caller.

    :param request_id: identifier set by the caller.
    :param host: requested host.
    :param method: HTTP method.
    :param path: path without the query.
    :param path_and_query: path and query as received.
    :param headers: headers to be forwarded, as received.
    :param body: all bytes of the body.
    :param affinity_key: key by which targets cache state; empty for none.
    :param received_s: monotonic time at which it was received.
    :param timeout_s: time from the receipt in seconds for which the caller
        waits for the response.
    :param is_detour: whether a peer passed it on, which does not reach the
        targets itself.
    :param prior_attempts: number of targets that have received it from the
        peer.
    """

    request_id: str
    host: str
    method: str
    path: str
    path_and_query: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | bytearray
    affinity_key: str
    received_s: float
    timeout_s: float
    is_detour: bool = False
    prior_attempts: int = 0


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """A response to the caller.

    :param status: HTTP status.
    :param origin: what produced the response; a refusal guarantees that the
        request did not run and never will.
    :param headers: headers of the target's response, if it is one.
    :param body: all bytes of the body.
    :param reason: why this instance refused the request or failed, for logs.
    :param retry_after_s: seconds after which the caller may retry, or 0.
    :param reservation: counts the memory of the body.
    :param sent_attempts: number of targets that received the request.
    """

    status: int
    origin: Origin
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''
    reason: str = ''
    retry_after_s: float = 0
    reservation: Reservation | None = field(default=None, compare=False)
    sent_attempts: int = field(default=0, compare=False)
