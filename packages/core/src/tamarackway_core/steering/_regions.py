"""Divides the demand of regions among the capacity of all regions."""

from collections.abc import Mapping
from typing import Final

_AIMED_LOAD: Final = 0.55  # queues stay short below it with three slots
_LEAST_DEMAND: Final = 1e-6


def split_demand(
    origin: str,
    slots: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    """Return the share of one region's requests that each region serves.

    :param origin: region that the requests come from.
    :param slots: slots of usable targets by region.
    :param demand: slots that the requests of each region keep busy.

    Each region serves its own requests up to a load that keeps queues short.
    What is left over goes to regions in proportion to their spare capacity.
    Where all together have too little, all are loaded alike.

    >>> split_demand('a', {'a': 10, 'b': 10}, {'a': 1, 'b': 1})
    {'a': 1.0}
    """
    total = sum(slots.values())
    if total <= 0:
        return {}
    load = max(_AIMED_LOAD, sum(demand.values()) / total)
    room = {name: count * load for name, count in slots.items()}
    wanted = max(demand.get(origin, 0), _LEAST_DEMAND)
    local = min(wanted, room.get(origin, 0))
    spare = {
        name: max(free - demand.get(name, 0), 0)
        for name, free in room.items()
        if name != origin
    }
    all_spare = sum(spare.values())
    if all_spare <= 0:
        return {origin: 1.0} if local else dict(slots)
    away = 1 - local / wanted
    shares = {origin: local / wanted}
    shares.update(
        {name: away * free / all_spare for name, free in spare.items()},
    )
    return {name: share for name, share in shares.items() if share > 0}
