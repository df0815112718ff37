"""Frozen data classes for the messages between entry instances."""

from collections.abc import Mapping
from dataclasses import dataclass

from tamarackway_core.membership import Member
from tamarackway_core.once import RunResult
from tamarackway_core.quarantine import Loss
from tamarackway_core.sheet import AcceptedPlan
from tamarackway_core.wire._fleet import FleetBeat, RowsRelay


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells peers that the sender is alive, and what it sees.

    :param member: the sender.
    """

    member: Member


@dataclass(frozen=True, slots=True)
class PlanPush:
    """Carries a newly accepted plan.

    :param plan: the plan.
    :param starts: shares by ``service/region`` from which it ramps.
    """

    plan: AcceptedPlan
    starts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """Asks for the plan in force.

    :param above: version that the sender already has.
    """

    above: int


@dataclass(frozen=True, slots=True)
class PlanReply:
    """Answers a plan request; empty if the receiver has no newer plan."""

    push: PlanPush | None


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks the claimant of a request for its result.

    :param row_key: key of the claim row.
    :param token: token of the claim.
    :param incarnation: incarnation of the claimant.
    :param timeout_s: longest time to wait for the end of the run.
    """

    row_key: str
    token: str
    incarnation: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Carries the result of a claimed request."""

    run: RunResult


@dataclass(frozen=True, slots=True)
class LossReport:
    """Tells that a target died while it ran a request.

    :param loss: the loss.
    """

    loss: Loss


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Asks for the decision record of a request.

    :param request_id: identifier from the answer's header.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class ExplainReply:
    """Carries the lines of a decision record; empty if it is not known."""

    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ok:
    """Acknowledges a message that has no other reply."""


Message = (
    Heartbeat
    | PlanPush
    | PlanRequest
    | PlanReply
    | JoinRequest
    | JoinReply
    | LossReport
    | ExplainRequest
    | ExplainReply
    | FleetBeat
    | RowsRelay
    | Ok
)
