"""Delays and cuts between places."""

import ipaddress
from dataclasses import dataclass, field
from typing import Final

_MS_PER_S: Final = 1000
_EVERYWHERE: Final = '*'


@dataclass(slots=True)
class Topology:
    """Where addresses stand, and what lies between them.

    :param places: ``region/failure-domain`` by network, such as 127.1.1.0/24.
    :param domain_ms: one-way delay between failure domains of one region.
    :param region_ms: one-way delay between regions.
    :param cuts: pairs of places or regions, or ``*``, that are cut apart.
    """

    places: dict[str, str] = field(default_factory=dict)
    domain_ms: float = 0
    region_ms: float = 0
    cuts: list[tuple[str, str]] = field(default_factory=list)

    def find_place(self, host: str) -> str:
        """Return the place of an IP number, or an empty string."""
        address = ipaddress.ip_address(host)
        for network, place in self.places.items():
            if address in ipaddress.ip_network(network):
                return place
        return ''

    def delay_s(self, near: str, far: str) -> float:
        """Return the one-way delay between two places in seconds."""
        if not near or near == far:
            return 0
        same_region = _region(near) == _region(far)
        delay_ms = self.domain_ms if same_region else self.region_ms
        return delay_ms / _MS_PER_S

    def is_cut(self, near: str, far: str) -> bool:
        """Return whether nothing passes between two places."""
        return any(
            (_matches(near, one) and _matches(far, other))
            or (_matches(near, other) and _matches(far, one))
            for one, other in self.cuts
        )


def _matches(place: str, pattern: str) -> bool:
    if pattern == _EVERYWHERE:
        return True
    return pattern in {place, _region(place)}


def _region(place: str) -> str:
    return place.split('/', maxsplit=1)[0]
