"""State of one request while it is forwarded."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tamarackway_core.steering import Route, TargetQuery

from tamarackway_entry.forwarding._model import (
    ForwardRequest,
    ForwardResponse,
)
from tamarackway_entry.serving import Caller


@dataclass(slots=True)
class RequestContext:
    """State of one request while it is forwarded.

    :param request: the request.
    :param route: the matching route.
    :param query: requirements for the target.
    :param deadline_s: monotonic time by which a response is due.
    :param caller: its caller, which may leave.
    :param is_retest: whether it is quarantined and run once all the same.
    :param tried: names of targets that must not be tried again.
    :param tried_peers: names of peers that took a detour.
    :param failed_connects: attempts in which no connection could be opened.
    :param sent_attempts: number of attempts in which the request was sent.
    :param may_have_run: whether a target may have run it.
    :param failed_response: error response of a target, returned if no retry
        succeeds.
    :param refusal: refusal of a peer that took a detour.
    :param trail: descriptions of the attempts, for logs.
    """

    request: ForwardRequest
    route: Route
    query: TargetQuery
    deadline_s: float
    caller: Caller
    is_retest: bool = False
    tried: set[str] = field(default_factory=set)
    tried_peers: set[str] = field(default_factory=set)
    failed_connects: int = 0
    sent_attempts: int = 0
    may_have_run: bool = False
    failed_response: ForwardResponse | None = None
    refusal: ForwardResponse | None = None
    trail: list[str] = field(default_factory=list)


RecordCallback = Callable[
    [ForwardRequest, ForwardResponse, RequestContext | None], None
]
