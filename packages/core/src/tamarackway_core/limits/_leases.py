"""Leases on shares of a cap, and detection of their expiry."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Final

FIRST_HISTORY: Final = 1
LEASE_DURATION_S: Final = 10.0
_OBSERVED_LEASE_DURATION_S: Final = 11.0  # with a margin, see LeaseObserver
_FLOOR_FRACTION: Final = 0.5  # of the cap; the rest is leased


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease of one holder on a share of a cap.

    :param holder: name and incarnation of the entry instance.
    :param share_per_s: leased share in requests per second.
    :param wanted_per_s: demand of the holder in requests per second.
    :param serial: increases with each renewal by the holder.
    """

    holder: str
    share_per_s: float
    wanted_per_s: float
    serial: int


@dataclass(frozen=True, slots=True)
class LeaseTable:
    """All leases on one cap, stored as one row of the platform's table.

    :param leases: the leases.
    :param history: history of the table in which they were written. A table
        that was restored from a copy lacks later leases, which their holders
        still use.
    :param is_settled: whether all leases of earlier histories have expired.
    """

    leases: tuple[Lease, ...] = ()
    history: int = FIRST_HISTORY
    is_settled: bool = True

    def find(self, holder: str) -> Lease | None:
        """Return the lease of a holder, or None."""
        for lease in self.leases:
            if lease.holder == holder:
                return lease
        return None


def floor_share(cap_per_s: float, max_instances: int) -> float:
    """Return the share that each instance has without a lease.

    :param cap_per_s: maximum requests per second of all instances.
    :param max_instances: maximum number of concurrent entry instances.
    """
    return cap_per_s * _FLOOR_FRACTION / max_instances


def grant(
    table: LeaseTable,
    cap_per_s: float,
    holder: str,
    wanted_per_s: float,
    expired: Collection[str],
    last_serial: int = 0,
) -> LeaseTable:
    """Return the leases with a renewed lease for one holder.

    :param table: the leases as last read.
    :param cap_per_s: maximum requests per second of all instances.
    :param holder: name and incarnation of the requesting instance.
    :param wanted_per_s: its demand in requests per second.
    :param expired: holders whose leases this instance has observed to expire.
    :param last_serial: serial of its last proposal. If other holders have
        dropped its lease as expired, the new one must not reuse a serial that
        an observer already knows, or the observer takes it for the old one.

    The leased shares never exceed the leasable part of the cap in total. The
    holder is limited to an even share while another one demands more than it
    has.
    """
    leasable_per_s = cap_per_s * (1 - _FLOOR_FRACTION)
    others = [
        lease
        for lease in table.leases
        if lease.holder != holder and lease.holder not in expired
    ]
    current = table.find(holder)
    known_serial = current.serial if current else 0
    serial = max(known_serial, last_serial) + 1
    taken_per_s = sum(lease.share_per_s for lease in others)
    limit_per_s = max(leasable_per_s - taken_per_s, 0)
    if any(lease.wanted_per_s > lease.share_per_s for lease in others):
        limit_per_s = min(limit_per_s, leasable_per_s / (len(others) + 1))
    share_per_s = min(wanted_per_s, limit_per_s)
    own = Lease(holder, share_per_s, wanted_per_s, serial)
    return replace(table, leases=(*others, own))


@dataclass(frozen=True, slots=True)
class _Observation:
    serial: int
    first_seen_s: float


class LeaseObserver:
    """Detects expired leases with the clock of the observer only.

    A holder measures its lease from before it reads the table. The observer
    measures from when it first reads the renewal, and adds a margin, so it
    never considers a lease expired that its holder still uses. Clocks of
    different instances are not compared.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._observations: dict[str, _Observation] = {}
        self._unsettled = _Observation(FIRST_HISTORY, 0)

    def has_settled(self, history: int, now_s: float) -> bool:
        """Return whether leases of earlier histories have certainly expired.

        :param history: history of the table, which had begun before.
        :param now_s: monotonic time in seconds.
        """
        if self._unsettled.serial != history:
            self._unsettled = _Observation(history, now_s)
        age_s = now_s - self._unsettled.first_seen_s
        return age_s >= _OBSERVED_LEASE_DURATION_S

    def observe(self, table: LeaseTable, now_s: float) -> frozenset[str]:
        """Record the leases as just read and return the expired holders.

        :param table: the leases.
        :param now_s: monotonic time in seconds after the read.
        """
        observations: dict[str, _Observation] = {}
        for lease in table.leases:
            known = self._observations.get(lease.holder)
            if known is None or known.serial != lease.serial:
                known = _Observation(lease.serial, now_s)
            observations[lease.holder] = known
        self._observations = observations
        return frozenset(
            holder
            for holder, observation in observations.items()
            if now_s - observation.first_seen_s >= _OBSERVED_LEASE_DURATION_S
        )
