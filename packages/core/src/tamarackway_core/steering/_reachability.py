"""Tells whether an instance has a path to the targets of a service."""

import math
from collections.abc import Mapping
from typing import Final

_MIN_FAILED_TARGETS: Final = 2  # a single one has probably failed itself


class _Path:
    """Failures of targets of one service since one of them responded."""

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.failed_since_s = math.inf
        self.is_suspected = False
        self.is_cut = False


class ReachabilityMonitor:
    """Detects services whose targets this instance cannot reach.

    A cut is suspected if several targets of a service accept no connection or
    lose one, and none has responded since the first of these failures. Full
    targets reset connections too, so the owner opens connections to others and
    calls :meth:`confirm` if none opens. Targets that refuse requests or respond
    slowly are reachable. Whether the targets themselves have failed is up to
    the peers: they report the services that they do not reach either.
    """

    def __init__(self) -> None:
        """Start with paths to all services."""
        self._paths: dict[str, _Path] = {}
        self._responded_s = -math.inf
        self._peers: dict[str, frozenset[str]] = {}

    def record_failure(
        self, service: str, target: str, targets: int, now_s: float
    ) -> bool:
        """Record a failed connection; return whether a cut is newly suspected.

        :param service: name of the service.
        :param target: name of the target.
        :param targets: number of targets of the service.
        :param now_s: monotonic time in seconds.
        """
        path = self._paths.setdefault(service, _Path())
        path.failed.add(target)
        path.failed_since_s = min(path.failed_since_s, now_s)
        if len(path.failed) < min(_MIN_FAILED_TARGETS, targets):
            return False
        is_news = not path.is_suspected
        path.is_suspected = True
        return is_news

    def confirm(self, service: str) -> bool:
        """Record that a suspected cut is one; return whether that is news.

        :param service: name of the service.
        """
        path = self._paths.get(service)
        if path is None or not path.is_suspected or path.is_cut:
            return False
        path.is_cut = True
        return True

    def record_response(self, service: str, sent_s: float) -> bool:
        """Record a response or an opened connection; return if it ends a cut.

        :param service: name of the service.
        :param sent_s: monotonic time at which the request was sent. What was
            sent before the first failure proves nothing.
        """
        self._responded_s = max(self._responded_s, sent_s)
        path = self._paths.get(service)
        if path is None or sent_s <= path.failed_since_s:
            return False
        self._paths.pop(service)
        return path.is_cut

    def is_cut_off(self, service: str) -> bool:
        """Return whether this instance does not reach a service."""
        path = self._paths.get(service)
        return path is not None and path.is_cut

    def failed_since_s(self, service: str) -> float:
        """Return the time of the first failure since the last response."""
        path = self._paths.get(service)
        return math.inf if path is None else path.failed_since_s

    def has_failed(self, service: str, target: str) -> bool:
        """Return whether a target failed since any of its service responded."""
        path = self._paths.get(service)
        return path is not None and target in path.failed

    def list_suspected(self) -> tuple[str, ...]:
        """Return the services that this instance may not reach."""
        return tuple(
            service
            for service, path in self._paths.items()
            if path.is_suspected
        )

    def list_cut_off(self) -> tuple[str, ...]:
        """Return the services that this instance does not reach."""
        return tuple(filter(self.is_cut_off, self._paths))

    def is_isolated(self) -> bool:
        """Return whether this instance reaches no target of any service."""
        cuts_s = [
            path.failed_since_s for path in self._paths.values() if path.is_cut
        ]
        return bool(cuts_s) and self._responded_s <= min(cuts_s)

    def update_peer(self, name: str, services: frozenset[str]) -> None:
        """Set the services that a peer does not reach.

        :param name: name of the peer.
        :param services: names of the services.
        """
        self._peers[name] = services

    def remove_peer(self, name: str) -> None:
        """Forget a peer that has failed."""
        self._peers.pop(name, None)

    def reaches(self, name: str, service: str) -> bool:
        """Return whether a peer reaches a service, as far as it has told."""
        known: Mapping[str, frozenset[str]] = self._peers
        return service not in known.get(name, frozenset())
