"""The targets that exist, and which of them may get new requests."""

from collections.abc import Iterable
from typing import Final

from tamarackway_core.steering._model import TargetRecord
from tamarackway_core.steering._ranking import TargetRanking

_RETURN_S: Final = 2.5  # entries that lapsed in an outage are back within 2 s


class Catalogue:
    """Targets by name, less those that leave or are evacuated."""

    def __init__(self) -> None:
        """Start without targets."""
        self._records: dict[str, TargetRecord] = {}
        self._cold_until_s: dict[str, float] = {}
        self._lapsed_s: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._usable: dict[str, TargetRanking] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of all targets."""
        return frozenset(self._records)

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get nothing."""
        return self._evacuated

    def find(self, name: str) -> TargetRecord | None:
        """Return the target of a name, or None."""
        return self._records.get(name)

    def put(self, record: TargetRecord, now_s: float) -> None:
        """Add a target or replace what was known of it.

        :param record: the target as it describes itself.
        :param now_s: monotonic time in seconds.
        """
        known = self._records.get(record.name)
        if known is not None and _age(known) > _age(record):
            return
        self._records[record.name] = record
        self._cold_until_s[record.name] = now_s + record.cold_left_s
        self._lapsed_s.pop(record.name, None)
        self._usable.pop(record.service, None)

    def remove(self, name: str) -> None:
        """Forget a target that is gone.

        :param name: name of the target.
        """
        record = self._records.pop(name, None)
        self._cold_until_s.pop(name, None)
        self._lapsed_s.pop(name, None)
        if record is not None:
            self._usable.pop(record.service, None)

    def mark_expired(self, name: str, now_s: float) -> None:
        """Note that a target's entry lapsed while its store was away.

        :param name: name of the target.
        :param now_s: monotonic time in seconds, when the store was back.

        The target stays in use for the time in which a live one registers
        again.
        """
        if name in self._records:
            self._lapsed_s.setdefault(name, now_s)

    def remove_expired(self, now_s: float) -> list[str]:
        """Forget lapsed targets that did not come back, and return them.

        :param now_s: monotonic time in seconds.
        """
        gone = [
            name
            for name, since_s in self._lapsed_s.items()
            if now_s - since_s >= _RETURN_S
        ]
        for name in gone:
            self.remove(name)
        return gone

    def evacuate(
        self,
        domains: Iterable[str],
        now_s: float,
        cold_s: float,
    ) -> None:
        """Set the failure domains whose targets get nothing.

        :param domains: all evacuated failure domains.
        :param now_s: monotonic time in seconds.
        :param cold_s: time for which targets of a domain that is taken back
            count as cold, since nothing was sent to them.
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
        """Count a target as cold for a while, as after an unseen restart.

        :param name: name of the target.
        :param now_s: monotonic time in seconds.
        :param cold_s: how long it counts as cold.
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
        """Return the targets of a service that may get new requests.

        :param service: name of the service.
        """
        ranking = self._usable.get(service)
        if ranking is None:
            ranking = TargetRanking(
                [
                    record
                    for record in self._records.values()
                    if record.service == service and self._is_usable(record)
                ],
            )
            self._usable[service] = ranking
        return ranking

    def _is_usable(self, record: TargetRecord) -> bool:
        evacuated = record.place.failure_domain in self._evacuated
        return not record.leaving and not evacuated


def _age(record: TargetRecord) -> tuple[int, int]:
    return (record.incarnation, record.sequence)
