"""Ranking of entry instances for callers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from tamarackway_core.membership._view import Member
from tamarackway_core.places import Place, State

MAX_ADVISED: Final = 16


@dataclass(frozen=True, slots=True)
class EntryAdvice:
    """An entry instance that is recommended to a caller.

    :param instance: name of the instance.
    :param address: address for requests.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    """

    instance: str
    address: str
    region: str
    failure_domain: str


def rank_entries(
    members: Iterable[Member],
    home: Place,
    distances_s: Mapping[str, float],
    limit: int = MAX_ADVISED,
) -> list[EntryAdvice]:
    """Return live entry instances in order of preference for a caller.

    :param members: entry instances in any state.
    :param home: region and failure domain of the caller.
    :param distances_s: one-way delays from home in seconds by region.
    :param limit: maximum number of instances to return.

    The nearest region comes first, and in each region the instance with the
    lowest request rate.
    """
    live = [member for member in members if member.state == State.LIVE]
    live.sort(
        key=lambda member: (
            member.instance.place.region != home.region,
            distances_s.get(member.instance.place.region, float('inf')),
            member.requests_per_s,
            member.instance.name,
        ),
    )
    return [
        EntryAdvice(
            member.instance.name,
            member.instance.callers,
            member.instance.place.region,
            member.instance.place.failure_domain,
        )
        for member in live[:limit]
    ]
