"""Order in which the regions are considered for a request."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from tamarackway_core.places import sort_regions
from tamarackway_core.sheet import PlanRow, ServiceRule

_HASH_SPAN: Final = 4294967296


@dataclass(frozen=True, slots=True)
class RegionChoice:
    """A region that may serve a request.

    :param region: name of the region.
    :param row: the sheet row that allows it.
    :param share: share in force, from 0 to 1.
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
    """Return the regions for a request, the best first.

    :param rule: what the sheet says of the service.
    :param home: region of the caller.
    :param distances_s: one-way delays from home in seconds by region.
    :param shares: shares in force by ``service/region``.
    :param request_id: spreads requests over the shares.

    Each region, from the nearest on, keeps its share of the requests that
    reach it. The others are considered next, and regions that were passed
    over come last, nearest first, to be used only when the rest cannot serve.
    """
    by_region = {share.region: share for share in rule.shares}
    kept: list[RegionChoice] = []
    passed: list[RegionChoice] = []
    for region in sort_regions(home, by_region, distances_s):
        planned = by_region[region]
        in_force = shares.get(f'{rule.service}/{region}', planned.share)
        choice = RegionChoice(region, planned.row, in_force)
        point = _spread(f'{region}/{request_id}')
        chosen = kept if point < in_force else passed
        chosen.append(choice)
    return kept + passed


def _spread(text: str) -> float:
    return zlib.crc32(text.encode()) / _HASH_SPAN
