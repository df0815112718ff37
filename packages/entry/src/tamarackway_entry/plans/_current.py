"""The plan in force on this entry instance."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from tamarackway_core.routing import effective_share
from tamarackway_core.sheet import (
    AcceptedPlan,
    PlanRules,
    ServiceRule,
    parse_sheet,
)
from tamarackway_core.wire import PlanPush

_NO_STARTS: Final[Mapping[str, float]] = MappingProxyType({})


class CurrentPlan:
    """Holds the plan in force, which the last accepted one replaces."""

    def __init__(self) -> None:
        """Start without a plan."""
        self.plan: AcceptedPlan | None = None
        self.rules: PlanRules | None = None
        self.starts = _NO_STARTS

    @property
    def version(self) -> int:
        """Version of the plan in force, or 0 without one."""
        return self.plan.version if self.plan else 0

    @property
    def history(self) -> int:
        """History of the table in which the plan in force was committed."""
        return self.plan.history if self.plan else 0

    @property
    def order(self) -> tuple[int, int]:
        """History and version of the plan in force."""
        return (self.history, self.version)

    def adopt(self, push: PlanPush) -> bool:
        """Put a plan in force if it is newer, and return whether it was.

        :param push: the plan and the shares that its ramps start from.
        :raises SheetError: if the sheet is invalid.
        """
        if push.plan.order <= self.order:
            return False
        rules = PlanRules(parse_sheet(push.plan.sheet))
        self.plan = push.plan
        self.rules = rules
        self.starts = push.starts
        return True

    def as_push(self) -> PlanPush | None:
        """Return the plan in force as a message, or None without one."""
        if self.plan is None:
            return None
        return PlanPush(self.plan, self.starts)

    def shares(self, rule: ServiceRule, time_s: float) -> dict[str, float]:
        """Return the shares in force of a service by ``service/region``.

        The result is empty if the sheet has no ``move`` row for the service;
        its planned shares then apply at once, without a ramp.

        :param rule: rows of the sheet for the service.
        :param time_s: seconds since the epoch.
        """
        if self.plan is None or self.rules is None:
            return {}
        move = self.rules.find_move(rule.service)
        if move is None:
            return {}
        elapsed_s = time_s - self.plan.accepted_at_s
        shares: dict[str, float] = {}
        for planned in rule.shares:
            key = f'{rule.service}/{planned.region}'
            start = self.starts.get(key, planned.share)
            shares[key] = effective_share(
                start,
                planned.share,
                move.amount,
                elapsed_s,
            )
        return shares
