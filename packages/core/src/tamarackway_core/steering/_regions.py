"""Divides the demand of regions among the capacity of all regions."""

from collections.abc import Mapping
from typing import Final

_EVENNESS: Final = 1.15  # a region may be loaded this much over the mean
_LEAST_DEMAND: Final = 0.5  # slots; below it rates say little


def split_demand(
    origin: str,
    slots: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    """Return the share of one region's requests that each region serves.

    :param origin: region that the requests come from.
    :param slots: slots of usable targets by region.
    :param demand: slots that the requests of each region keep busy.

    Each region serves its own requests up to a little more than the mean load
    of all slots. What is left over goes to regions in proportion to their
    spare capacity. Slots stand for what targets can remember as well, so keys
    are spread as evenly as runs.

    >>> split_demand('a', {'a': 10, 'b': 10}, {'a': 3, 'b': 3})
    {'a': 1.0}
    >>> split_demand('a', {'a': 1, 'b': 9}, {'a': 4, 'b': 4})['a'] < 0.3
    True
    """
    total = sum(slots.values())
    if total <= 0:
        return {}
    if sum(demand.values()) < _LEAST_DEMAND:
        demand = dict.fromkeys({origin, *slots}, 1.0)
    wanted = demand.get(origin, 0)
    total = sum(slots.values())
    if total <= 0 or wanted <= 0:
        return dict(slots)
    load = _EVENNESS * sum(demand.values()) / total
    room = {name: count * load for name, count in slots.items()}
    local = min(wanted, room.get(origin, 0))
    spare = _find_spare(origin, room, demand)
    if sum(spare.values()) <= 0:
        return {origin: 1.0} if local else dict(slots)
    part = (1 - local / wanted) / sum(spare.values())
    shares = {name: part * free for name, free in spare.items()}
    shares[origin] = local / wanted
    return {name: share for name, share in shares.items() if share > 0}


def _find_spare(
    origin: str,
    room: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    return {
        name: max(free - demand.get(name, 0), 0)
        for name, free in room.items()
        if name != origin
    }


def approach(
    current: Mapping[str, float],
    wanted: Mapping[str, float],
    most: float,
) -> dict[str, float]:
    """Return shares on the way from current ones to wanted ones.

    :param current: shares in force.
    :param wanted: shares to be reached.
    :param most: largest part of all requests that may change its region.

    >>> approach({'a': 1.0}, {'b': 1.0}, 0.25)
    {'a': 0.75, 'b': 0.25}
    """
    names = sorted({*current, *wanted})
    changes = {
        name: wanted.get(name, 0) - current.get(name, 0) for name in names
    }
    moved = sum(abs(change) for change in changes.values()) / 2
    part = min(most / moved, 1) if moved else 1
    return {
        name: current.get(name, 0) + part * change
        for name, change in changes.items()
    }
