"""Gradual change of the shares of regions after a new plan."""

from collections.abc import Mapping
from typing import Final

from tamarackway_core.sheet import AcceptedPlan, PlanRules

_PERCENT: Final = 100
_S_PER_MIN: Final = 60


def effective_share(
    start: float,
    goal: float,
    percent_per_min: float,
    elapsed_s: float,
) -> float:
    """Return the share in force at a given time after a plan was accepted.

    :param start: share when the plan was accepted, from 0 to 1.
    :param goal: share according to the plan, from 0 to 1.
    :param percent_per_min: maximum rate of change.
    :param elapsed_s: seconds since the plan was accepted.

    >>> effective_share(0.0, 1.0, 30, 60)
    0.3
    """
    max_change = percent_per_min / _PERCENT * max(elapsed_s, 0) / _S_PER_MIN
    if goal > start:
        return min(start + max_change, goal)
    return max(start - max_change, goal)


def shares_in_force(
    plan: AcceptedPlan,
    rules: PlanRules,
    starts: Mapping[str, float],
    now_s: float,
) -> dict[str, float]:
    """Return the current shares by ``service/region``.

    They are the initial shares of the ramp if a new plan is accepted now.

    :param plan: the plan in force.
    :param rules: index of the plan in force.
    :param starts: shares by ``service/region`` when it was accepted.
    :param now_s: seconds since the epoch.
    """
    shares: dict[str, float] = {}
    for service in rules.services:
        rule = rules.find_service(service)
        move = rules.find_move(service)
        for share in rule.shares if rule else ():
            key = f'{service}/{share.region}'
            shares[key] = share.share
            if move is not None:
                shares[key] = effective_share(
                    starts.get(key, share.share),
                    share.share,
                    move.amount,
                    now_s - plan.accepted_at_s,
                )
    return shares
