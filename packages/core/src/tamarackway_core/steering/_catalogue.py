"""Registry of known targets and of those that accept new requests."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from tamarackway_core.steering._departures import DepartureRegistry
from tamarackway_core.steering._model import LeavingTarget, TargetRecord
from tamarackway_core.steering._outdated import OutdatedRecords
from tamarackway_core.steering._ranking import TargetRanking

_EXPIRY_GRACE_S: Final = 2.5  # live targets register again within 2 s
# A running target replaces a late record of an earlier incarnation in less
# time, and a leaving one must be known as such within 2 s.
_RESTART_GRACE_S: Final = 1.8
# By then, the store has removed the entries of silent targets.
_COPY_GRACE_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class _OlderRecord:
    """A record that is older than what is known, and when it is adopted."""

    record: TargetRecord
    adopted_s: float


class Catalogue:
    """Known targets, and the usable ones of each service.

    A target is usable unless it is leaving or its failure domain is
    evacuated. It is leaving if its record says so, or if it has said so itself
    in a response: then no later record of the same incarnation makes it usable
    again. It is cold for some time after its start or its return: its
    caches may be empty, and the rate of requests to it is limited.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self.departures = DepartureRegistry()
        self.outdated = OutdatedRecords()
        self._records: dict[str, TargetRecord] = {}
        self._cold_until_s: dict[str, float] = {}
        self._expired_since_s: dict[str, float] = {}
        self._older: dict[str, _OlderRecord] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._usable: dict[str, TargetRanking] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of all targets."""
        return frozenset(self._records)

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets receive no requests."""
        return self._evacuated

    def find(self, name: str) -> TargetRecord | None:
        """Return the target with a name, or None."""
        return self._records.get(name)

    def is_usable(self, name: str) -> bool:
        """Return whether a target accepts new requests.

        :param name: name of the target.
        """
        record = self._records.get(name)
        return record is not None and self._accepts_requests(record)

    def put(
        self, record: TargetRecord, now_s: float, *, is_copy: bool = False
    ) -> None:
        """Add or update a target; an older record is ignored.

        :param record: description of the target, as published by itself.
        :param now_s: monotonic time in seconds.
        :param is_copy: whether it may stem from the copy that the store was
            restored from, so that it proves nothing about the target now.

        A record of an older incarnation, or of a target that was removed, is
        kept for :meth:`adopt_older`.
        """
        known = self._records.get(record.name)
        if is_copy and self.outdated.contradicts(record, known, now_s):
            if known is None:
                self._keep_older(record, now_s + _COPY_GRACE_S)
            return
        if known is not None and _version(known) > _version(record):
            if known.incarnation > record.incarnation and not is_copy:
                self._keep_older(record, now_s + _RESTART_GRACE_S)
            return
        self._replace(record, now_s)

    def adopt_older(self, now_s: float) -> list[str]:
        """Adopt older records that were not replaced, and return their names.

        :param now_s: monotonic time in seconds.

        A record of an older incarnation may have been written late, or by a
        target whose clock was set back before it started again. In the first
        case, the running target soon replaces it. A record of a removed target
        may stem from a copy of the store, which soon removes it too.
        """
        adopted = [
            older for older in self._older.values() if now_s >= older.adopted_s
        ]
        for older in adopted:
            self._replace(older.record, now_s)
        return [older.record.name for older in adopted]

    def mark_leaving(
        self, name: str, incarnation: int, now_s: float, *, from_peer: bool
    ) -> bool:
        """Record that a target says it is leaving; return whether it is news.

        :param name: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        :param from_peer: whether a peer reported it.

        This holds for that incarnation, also while it is removed and
        registered again.
        """
        target = LeavingTarget(name, incarnation)
        if not self.departures.add(target, now_s, from_peer=from_peer):
            return False
        record = self._records.get(name)
        if record is None or record.incarnation != incarnation:
            return False
        self._usable.pop(record.service, None)
        return not record.leaving

    def remove(self, name: str) -> None:
        """Remove a target.

        :param name: name of the target.
        """
        record = self._records.pop(name, None)
        self._older.pop(name, None)
        self._cold_until_s.pop(name, None)
        self._expired_since_s.pop(name, None)
        if record is not None:
            self.outdated.record_removal(record)
            self._usable.pop(record.service, None)

    def mark_expired(self, name: str, now_s: float) -> None:
        """Mark a target whose registration expired while the table was down.

        :param name: name of the target.
        :param now_s: monotonic time in seconds at which the table was back.

        The target stays usable for a grace period, so that live targets
        have time to register again.
        """
        if name in self._records:
            self._expired_since_s.setdefault(name, now_s)

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove targets that did not register again, and return their names.

        :param now_s: monotonic time in seconds.
        """
        removed = [
            name
            for name, since_s in self._expired_since_s.items()
            if now_s - since_s >= _EXPIRY_GRACE_S
        ]
        for name in removed:
            self.remove(name)
        return removed

    def evacuate(
        self,
        domains: Iterable[str],
        now_s: float,
        cold_s: float,
    ) -> None:
        """Set the failure domains whose targets receive no requests.

        :param domains: all evacuated failure domains.
        :param now_s: monotonic time in seconds.
        :param cold_s: time in seconds for which targets count as cold after
            the evacuation of their domain, when they received no requests.
        """
        wanted = frozenset(domains)
        returned = self._evacuated - wanted
        for name, record in self._records.items():
            if record.place.failure_domain in returned:
                cold_until_s = self._cold_until_s.get(name, now_s)
                self._cold_until_s[name] = max(cold_until_s, now_s + cold_s)
        if wanted != self._evacuated:
            self._evacuated = wanted
            self._usable.clear()

    def mark_cold(self, name: str, now_s: float, cold_s: float) -> None:
        """Treat a target as cold, for example if it may have been restarted.

        :param name: name of the target.
        :param now_s: monotonic time in seconds.
        :param cold_s: time in seconds for which it counts as cold.
        """
        if name in self._records:
            until_s = max(self._cold_until_s.get(name, now_s), now_s + cold_s)
            self._cold_until_s[name] = until_s

    def is_cold(self, name: str, now_s: float) -> bool:
        """Return whether a target is cold.

        :param name: name of the target.
        :param now_s: monotonic time in seconds.
        """
        return now_s < self._cold_until_s.get(name, now_s)

    def list_usable(self, service: str) -> TargetRanking:
        """Return the targets of a service that accept new requests.

        :param service: name of the service.
        """
        ranking = self._usable.get(service)
        if ranking is None:
            ranking = TargetRanking(
                [
                    record
                    for record in self._records.values()
                    if record.service == service
                    and self._accepts_requests(record)
                ],
            )
            self._usable[service] = ranking
        return ranking

    def _replace(self, record: TargetRecord, now_s: float) -> None:
        known = self._records.get(record.name, record)
        self._records[record.name] = record
        self._older.pop(record.name, None)
        self._cold_until_s[record.name] = now_s + record.cold_left_s
        self._expired_since_s.pop(record.name, None)
        self._usable.pop(known.service, None)
        self._usable.pop(record.service, None)

    def _keep_older(self, record: TargetRecord, adopted_s: float) -> None:
        older = self._older.get(record.name)
        if older is None or older.record.incarnation != record.incarnation:
            self._older[record.name] = _OlderRecord(record, adopted_s)
        elif older.record.sequence <= record.sequence:
            self._older[record.name] = _OlderRecord(record, older.adopted_s)

    def _accepts_requests(self, record: TargetRecord) -> bool:
        evacuated = record.place.failure_domain in self._evacuated
        departed = self.departures.includes(record.name, record.incarnation)
        return not (record.leaving or departed or evacuated)


def _version(record: TargetRecord) -> tuple[int, int]:
    return (record.incarnation, record.sequence)
