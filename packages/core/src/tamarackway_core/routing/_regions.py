"""Order of regions in which targets for a request are sought."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from tamarackway_core.places import sort_regions
from tamarackway_core.sheet import PlanRow, ServiceRule

_HASH_RANGE: Final = 4294967296


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """A region that may serve a request.

    :param region: name of the region.
    :param row: sheet row that defines its share.
    :param share: current share, from 0 to 1.
    """

    region: str
    row: PlanRow
    share: float


def order_regions(
    rule: ServiceRule,
    home: str,
    distances_s: Mapping[str, float],
    shares: Mapping[str, float],
    request_id: str,
) -> list[RegionChoice]:
    """Return the regions for a request in order of preference.

    :param rule: rule of the sheet for the service.
    :param home: region of the caller.
    :param distances_s: one-way delays from home in seconds by region.
    :param shares: current shares by ``service/region``.
    :param request_id: identifier that is hashed to apply the shares.

    Starting with the nearest, each region is selected for its share of the
    requests. Regions that were not selected come last, nearest first, and are
    used only when the selected ones cannot serve the request.
    """
    by_region = {share.region: share for share in rule.shares}
    selected: list[RegionChoice] = []
    skipped: list[RegionChoice] = []
    for region in sort_regions(home, by_region, distances_s):
        planned = by_region[region]
        current = shares.get(f'{rule.service}/{region}', planned.share)
        choice = RegionChoice(region, planned.row, current)
        position = _hash_fraction(f'{region}/{request_id}')
        chosen = selected if position < current else skipped
        chosen.append(choice)
    return selected + skipped


def _hash_fraction(text: str) -> float:
    return zlib.crc32(text.encode()) / _HASH_RANGE
