"""Request rates of each service by region."""

import math
from collections.abc import Mapping
from typing import Final

_AVERAGING_S: Final = 4.0  # a short burst must not move keys to other regions


class DemandTracker:
    """Tracks request rates by service, of this instance and of its peers.

    Rates of this instance are exponential moving averages.

    :param region: region of this instance.
    """

    def __init__(self, region: str) -> None:
        """Start without requests."""
        self._region = region
        self._rates: dict[str, float] = {}
        self._updated_s: dict[str, float] = {}
        self._peer_rates: dict[str, tuple[str, Mapping[str, float]]] = {}

    def count(self, service: str, now_s: float) -> None:
        """Count a request from a caller.

        :param service: name of the requested service.
        :param now_s: monotonic time in seconds.
        """
        self._rates[service] = (
            self._decayed_rate(service, now_s) + 1 / _AVERAGING_S
        )
        self._updated_s[service] = now_s

    def local_rates(self, now_s: float) -> dict[str, float]:
        """Return the request rates of this instance in 1/s by service.

        :param now_s: monotonic time in seconds.
        """
        return {name: self._decayed_rate(name, now_s) for name in self._rates}

    def update_peer(
        self,
        instance: str,
        region: str,
        rates: Mapping[str, float],
    ) -> None:
        """Set the request rates of a peer.

        :param instance: name of the peer.
        :param region: region of the peer.
        :param rates: its requests per second by service.
        """
        self._peer_rates[instance] = (region, rates)

    def remove_peer(self, instance: str) -> None:
        """Remove the rates of a peer that is no longer reachable.

        :param instance: name of the peer.
        """
        self._peer_rates.pop(instance, None)

    def by_region(self, service: str, now_s: float) -> dict[str, float]:
        """Return the requests per second of a service by region.

        :param service: name of the service.
        :param now_s: monotonic time in seconds.
        """
        total = {self._region: self._decayed_rate(service, now_s)}
        for region, rates in self._peer_rates.values():
            rate = rates.get(service, 0)
            total[region] = total.get(region, 0) + rate
        return total

    def _decayed_rate(self, service: str, now_s: float) -> float:
        age_s = now_s - self._updated_s.get(service, now_s)
        return self._rates.get(service, 0) * math.exp(-age_s / _AVERAGING_S)
