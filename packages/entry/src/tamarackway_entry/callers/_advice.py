"""Discovery of entry instances by callers."""

from dataclasses import asdict
from typing import Any, Final
from urllib.parse import parse_qs

from tamarackway_core.membership import rank_entries
from tamarackway_core.places import Place

from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.peers import MemberSource, PeerService
from tamarackway_entry.settings import Settings

_MS_PER_S: Final = 1000


class EntryDiscovery:
    """Ranks the live entry instances by their suitability for a caller.

    :param settings: settings of the daemon.
    :param peers: the other entry instances.
    :param local_member: describes this instance.
    :param lifecycle: state of this instance.
    """

    def __init__(
        self,
        settings: Settings,
        peers: PeerService,
        local_member: MemberSource,
        lifecycle: Lifecycle,
    ) -> None:
        """Store the dependencies."""
        self.lifetime_s = settings.callers.advice_lifetime_s
        self._settings = settings
        self._peers = peers
        self._local_member = local_member
        self._lifecycle = lifecycle

    def describe(self, query: bytes) -> dict[str, Any]:
        """Return the ranked instances and the cache lifetime as JSON.

        :param query: query string; ``region`` is the caller's region.
        """
        requested = parse_qs(query.decode('latin-1')).get('region', [''])[0]
        instance = self._settings.instance
        home = Place(requested or instance.region, instance.failure_domain)
        members = [*self._peers.list_live(), self._local_member.describe()]
        distances_s = {
            region: distance_ms / _MS_PER_S
            for region, distance_ms in (
                self._settings.routing.distances_ms.items()
            )
        }
        ranked = rank_entries(members, home, distances_s)
        return {
            'entries': [asdict(advice) for advice in ranked],
            'lifetime_s': self.lifetime_s,
        }
