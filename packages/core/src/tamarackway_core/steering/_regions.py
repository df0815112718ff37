"""Distribution of the demand of regions over their capacities."""

from collections.abc import Mapping
from typing import Final

_MAX_RELATIVE_LOAD: Final = 1.15  # relative to the mean load of all slots
_MIN_DEMAND: Final = 0.5  # in slots; lower rates are too noisy to use


def split_demand(
    origin: str,
    slots: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    """Return the relative shares of a region's requests by serving region.

    :param origin: region that the requests come from.
    :param slots: slots of usable targets by region.
    :param demand: mean number of slots used by requests of each region.

    Each region serves its own requests up to slightly more than the mean load
    of all slots. The excess goes to other regions in proportion to their spare
    capacity. Slots measure the cache capacity of targets as well, so keys are
    balanced along with run time.

    If the origin has no demand, the shares are the slots themselves, which
    do not sum to 1.

    >>> split_demand('a', {'a': 10, 'b': 10}, {'a': 3, 'b': 3})
    {'a': 1.0}
    >>> split_demand('a', {'a': 1, 'b': 9}, {'a': 4, 'b': 4})['a'] < 0.3
    True
    """
    total = sum(slots.values())
    if total <= 0:
        return {}
    if sum(demand.values()) < _MIN_DEMAND:
        demand = dict.fromkeys({origin, *slots}, 1.0)
    wanted = demand.get(origin, 0)
    total = sum(slots.values())
    if total <= 0 or wanted <= 0:
        return dict(slots)
    max_load = _MAX_RELATIVE_LOAD * sum(demand.values()) / total
    capacity = {name: count * max_load for name, count in slots.items()}
    served_locally = min(wanted, capacity.get(origin, 0))
    spare = _find_spare(origin, capacity, demand)
    if sum(spare.values()) <= 0:
        return {origin: 1.0} if served_locally else dict(slots)
    fraction = (1 - served_locally / wanted) / sum(spare.values())
    shares = {name: fraction * unused for name, unused in spare.items()}
    shares[origin] = served_locally / wanted
    return {name: share for name, share in shares.items() if share > 0}


def _find_spare(
    origin: str,
    capacity: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[str, float]:
    return {
        name: max(available - demand.get(name, 0), 0)
        for name, available in capacity.items()
        if name != origin
    }


def limit_shift(
    current: Mapping[str, float],
    wanted: Mapping[str, float],
    max_shift: float,
) -> dict[str, float]:
    """Return shares moved from the current towards the wanted ones.

    :param current: shares in force.
    :param wanted: shares to be reached.
    :param max_shift: largest fraction of all requests that may change region.

    >>> limit_shift({'a': 1.0}, {'b': 1.0}, 0.25)
    {'a': 0.75, 'b': 0.25}
    """
    names = sorted({*current, *wanted})
    changes = {
        name: wanted.get(name, 0) - current.get(name, 0) for name in names
    }
    shift = sum(abs(change) for change in changes.values()) / 2
    fraction = min(max_shift / shift, 1) if shift else 1
    return {
        name: current.get(name, 0) + fraction * change
        for name, change in changes.items()
    }
