"""Delays and network partitions between places."""

import ipaddress
from dataclasses import dataclass, field
from typing import Final

_MS_PER_S: Final = 1000
_ANY_PLACE: Final = '*'


@dataclass(slots=True)
class Topology:
    """Places of addresses, and the links between places.

    :param places: ``region/failure-domain`` by network, such as 127.1.1.0/24.
    :param domain_ms: one-way delay between failure domains of one region.
    :param region_ms: one-way delay between regions.
    :param cuts: pairs of places or regions, or ``*`` for any, that are
        partitioned from each other.
    """

    places: dict[str, str] = field(default_factory=dict)
    domain_ms: float = 0
    region_ms: float = 0
    cuts: list[tuple[str, str]] = field(default_factory=list)

    def find_place(self, host: str) -> str:
        """Return the place of an IP address, or an empty string."""
        address = ipaddress.ip_address(host)
        for network, place in self.places.items():
            if address in ipaddress.ip_network(network):
                return place
        return ''

    def delay_s(self, client: str, server: str) -> float:
        """Return the one-way delay between two places in seconds.

        Connections from an unknown place are not delayed.
        """
        if not client or client == server:
            return 0
        same_region = _region(client) == _region(server)
        delay_ms = self.domain_ms if same_region else self.region_ms
        return delay_ms / _MS_PER_S

    def is_partitioned(self, client: str, server: str) -> bool:
        """Return whether a network partition separates two places."""
        return any(
            (_matches(client, one) and _matches(server, other))
            or (_matches(client, other) and _matches(server, one))
            for one, other in self.cuts
        )


def _matches(place: str, pattern: str) -> bool:
    if pattern == _ANY_PLACE:
        return True
    return pattern in {place, _region(place)}


def _region(place: str) -> str:
    return place.split('/', maxsplit=1)[0]
