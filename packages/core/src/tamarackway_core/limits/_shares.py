"""Leases on the shares of a cap, and when they may be granted anew."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import Final

LEASE_S: Final = 10.0
_OBSERVED_LEASE_S: Final = 11.0
_FLOOR_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class Lease:
    """One holder's share of a cap.

    :param holder: name and incarnation of the entry instance.
    :param share_per_s: requests that the holder may start in a second.
    :param wanted_per_s: requests that it would like to start in a second.
    :param serial: grows with each renewal by the holder.
    """

    holder: str
    share_per_s: float
    wanted_per_s: float
    serial: int


@dataclass(frozen=True, slots=True)
class LeaseTable:
    """All leases on one cap, as one row of the table holds them."""

    leases: tuple[Lease, ...] = ()

    def find(self, holder: str) -> Lease | None:
        """Return the lease of a holder, or None."""
        for lease in self.leases:
            if lease.holder == holder:
                return lease
        return None


def floor_share(cap_per_s: float, max_instances: int) -> float:
    """Return the share that each instance has without a lease.

    :param cap_per_s: requests that all may start in a second.
    :param max_instances: most entry instances that run at once.
    """
    return cap_per_s * _FLOOR_SHARE / max_instances


def grant(
    table: LeaseTable,
    cap_per_s: float,
    holder: str,
    wanted_per_s: float,
    expired: Collection[str],
    last_serial: int = 0,
) -> LeaseTable:
    """Return the leases after a holder has asked for a share.

    :param table: the leases as last read.
    :param cap_per_s: requests that all may start in a second.
    :param holder: name and incarnation of the entry instance that asks.
    :param wanted_per_s: share that it would like.
    :param expired: holders whose leases the asker has seen lapse.
    :param last_serial: serial of the holder's last proposal. A lease that was
        dropped must not come back under a serial that observers know.

    The shares never add up to more than the leased part of the cap. A holder
    of more than an even part gives way while others want more than they have.
    """
    pool_per_s = cap_per_s * (1 - _FLOOR_SHARE)
    others = [
        lease
        for lease in table.leases
        if lease.holder != holder and lease.holder not in expired
    ]
    current = table.find(holder)
    known_serial = current.serial if current else 0
    serial = max(known_serial, last_serial) + 1
    taken_per_s = sum(lease.share_per_s for lease in others)
    limit_per_s = max(pool_per_s - taken_per_s, 0)
    if any(lease.wanted_per_s > lease.share_per_s for lease in others):
        limit_per_s = min(limit_per_s, pool_per_s / (len(others) + 1))
    share_per_s = min(wanted_per_s, limit_per_s)
    own = Lease(holder, share_per_s, wanted_per_s, serial)
    return replace(table, leases=(*others, own))


@dataclass(frozen=True, slots=True)
class _Observation:
    serial: int
    first_seen_s: float


class LeaseObserver:
    """Tells which leases have lapsed, by the observer's own clock alone.

    A holder counts its lease from before it asked. The observer counts from
    when it first saw the renewal, and a little longer, so it never takes a
    lease for lapsed that its holder still uses. No clocks are compared.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._observations: dict[str, _Observation] = {}

    def observe(self, table: LeaseTable, now_s: float) -> frozenset[str]:
        """Take in the leases as just read and return the lapsed holders.

        :param table: the leases.
        :param now_s: monotonic time in seconds, read after the table was.
        """
        current: dict[str, _Observation] = {}
        for lease in table.leases:
            known = self._observations.get(lease.holder)
            if known is None or known.serial != lease.serial:
                known = _Observation(lease.serial, now_s)
            current[lease.holder] = known
        self._observations = current
        return frozenset(
            holder
            for holder, seen in current.items()
            if now_s - seen.first_seen_s >= _OBSERVED_LEASE_S
        )
