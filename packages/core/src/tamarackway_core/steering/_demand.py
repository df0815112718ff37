"""How much each region asks of each service."""

import math
from collections.abc import Mapping
from typing import Final

_AVERAGING_S: Final = 4.0  # slow enough that regions keep their requests


class DemandTracker:
    """Rates of requests by service: own ones, and those of peers by region.

    :param region: region of this instance.
    """

    def __init__(self, region: str) -> None:
        """Start without requests."""
        self._region = region
        self._rates: dict[str, float] = {}
        self._counted_s: dict[str, float] = {}
        self._peers: dict[str, tuple[str, Mapping[str, float]]] = {}

    def count(self, service: str, now_s: float) -> None:
        """Count a request of a caller.

        :param service: service that it goes to.
        :param now_s: monotonic time in seconds.
        """
        self._rates[service] = self._decayed(service, now_s) + 1 / _AVERAGING_S
        self._counted_s[service] = now_s

    def local_rates(self, now_s: float) -> dict[str, float]:
        """Return requests a second by service, for the peers.

        :param now_s: monotonic time in seconds.
        """
        return {name: self._decayed(name, now_s) for name in self._rates}

    def update_peer(
        self,
        instance: str,
        region: str,
        rates: Mapping[str, float],
    ) -> None:
        """Take in the rates of a peer.

        :param instance: name of the peer.
        :param region: region of the peer.
        :param rates: its requests a second by service.
        """
        self._peers[instance] = (region, rates)

    def remove_peer(self, instance: str) -> None:
        """Drop the rates of a peer that is lost.

        :param instance: name of the peer.
        """
        self._peers.pop(instance, None)

    def by_region(self, service: str, now_s: float) -> dict[str, float]:
        """Return requests a second of a service by region.

        :param service: name of the service.
        :param now_s: monotonic time in seconds.
        """
        total = {self._region: self._decayed(service, now_s)}
        for region, rates in self._peers.values():
            rate = rates.get(service, 0)
            total[region] = total.get(region, 0) + rate
        return total

    def _decayed(self, service: str, now_s: float) -> float:
        age_s = now_s - self._counted_s.get(service, now_s)
        return self._rates.get(service, 0) * math.exp(-age_s / _AVERAGING_S)
