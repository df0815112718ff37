"""Data classes for the messages between entry instances."""

from collections.abc import Mapping
from dataclasses import dataclass

from tamarackway_core.membership import Member
from tamarackway_core.numbers import Duration, Serial
from tamarackway_core.once import RunResult
from tamarackway_core.quarantine import Loss
from tamarackway_core.sheet import AcceptedPlan
from tamarackway_core.wire._fleet import (
    ConfigurationReply,
    ConfigurationRequest,
    FleetBeat,
    LossesReply,
    LossesRequest,
    RowsRelay,
)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat with the state of the sender.

    :param member: description of the sender.
    """

    member: Member


@dataclass(frozen=True, slots=True)
class PlanPush:
    """Distributes a newly accepted plan.

    :param plan: the plan.
    :param starts: initial shares of its ramp by ``service/region``.
    """

    plan: AcceptedPlan
    starts: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """Requests the plan in force.

    :param above: version of the plan that the sender already has.
    :param above_history: history of the table in which that was committed.
    """

    above: int
    above_history: Serial = 0


@dataclass(frozen=True, slots=True)
class PlanReply:
    """Reply to a plan request; empty if there is no newer plan."""

    push: PlanPush | None


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Requests the result of a claimed request from its claimant.

    :param row_key: key of the claim row.
    :param token: token of the claim.
    :param incarnation: incarnation of the claimant.
    :param timeout_s: maximum time to wait for the end of the run.
    """

    row_key: str
    token: str
    incarnation: str
    timeout_s: Duration


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Reply with the result of a claimed request."""

    run: RunResult


@dataclass(frozen=True, slots=True)
class LossReport:
    """Reports that a target was lost while it ran a request.

    :param loss: the loss.
    """

    loss: Loss


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Requests the decision record of a request.

    :param request_id: identifier from the response header.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class ExplainReply:
    """Reply with the lines of a decision record; empty if unknown."""

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
    | ConfigurationRequest
    | ConfigurationReply
    | LossesRequest
    | LossesReply
    | Ok
)
