"""Order of regions by distance."""

from collections.abc import Iterable, Mapping


def sort_regions(
    home: str,
    regions: Iterable[str],
    distances_s: Mapping[str, float],
) -> list[str]:
    """Return regions from the nearest to the farthest.

    :param home: region that distances are measured from.
    :param regions: names of the regions to sort.
    :param distances_s: one-way delays in seconds by region; regions without a
        delay come last.

    >>> sort_regions('a', ['b', 'c', 'a'], {'b': 0.2, 'c': 0.1})
    ['a', 'c', 'b']
    """
    return sorted(
        regions,
        key=lambda region: (
            region != home,
            distances_s.get(region, float('inf')),
            region,
        ),
    )
