"""One instance's share of a cap, over its renewals."""

from typing import Final

from tamarackway_core.limits._shares import (
    LEASE_S,
    LeaseObserver,
    LeaseTable,
    grant,
)

_HEADROOM: Final = 1.3
_LEAST_WANTED_PER_S: Final = 1.0
_LEAST_ELAPSED_S: Final = 0.5


class LeasedShare:
    """Keeps a floor and leases more of a cap.

    :param holder: name and incarnation of the entry instance.
    :param cap_per_s: requests that all instances may start in a second.
    :param floor_per_s: share that needs no lease.
    :param now_s: monotonic time in seconds.

    A renewal goes: read the table's leases, :meth:`propose`, write the
    proposal if the row is unchanged, and :meth:`confirm` if the table says
    that it was written.
    """

    def __init__(
        self,
        holder: str,
        cap_per_s: float,
        floor_per_s: float,
        now_s: float,
    ) -> None:
        """Start with the floor alone."""
        self._holder = holder
        self._cap_per_s = cap_per_s
        self._floor_per_s = floor_per_s
        self._leased_per_s: float = 0
        self._proposed_per_s: float = 0
        self._lease_ends_s = now_s
        self._observer = LeaseObserver()
        self._asked = 0
        self._serial = 0
        self._counted_s = now_s

    def share_per_s(self, now_s: float) -> float:
        """Return the share that holds now.

        :param now_s: monotonic time in seconds.
        """
        if now_s < self._lease_ends_s:
            return self._floor_per_s + self._leased_per_s
        return self._floor_per_s

    def count(self) -> None:
        """Count a request that wants to start."""
        self._asked += 1

    def change_cap(self, cap_per_s: float, floor_per_s: float) -> None:
        """Follow a new plan.

        :param cap_per_s: requests that all instances may start in a second.
        :param floor_per_s: share that needs no lease.
        """
        shrinkage = min(cap_per_s / max(self._cap_per_s, 1), 1)
        self._leased_per_s *= shrinkage
        self._cap_per_s = cap_per_s
        self._floor_per_s = floor_per_s

    def propose(self, table: LeaseTable, now_s: float) -> LeaseTable:
        """Return the leases that this instance would write.

        :param table: the leases as just read.
        :param now_s: monotonic time in seconds, read after the table was.

        A smaller share holds from now on, a larger one only once it is
        confirmed.
        """
        granted = grant(
            table,
            self._cap_per_s,
            self._holder,
            self._take_wanted_per_s(now_s),
            self._observer.observe(table, now_s),
            self._serial,
        )
        own = granted.find(self._holder)
        self._proposed_per_s = own.share_per_s if own else 0
        self._serial = own.serial if own else self._serial
        self._leased_per_s = min(self._leased_per_s, self._proposed_per_s)
        return granted

    def confirm(self, asked_s: float) -> None:
        """Take the proposed share, which the table has written.

        :param asked_s: monotonic time in seconds before the table was read.
        """
        self._leased_per_s = self._proposed_per_s
        self._lease_ends_s = asked_s + LEASE_S

    def _take_wanted_per_s(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._counted_s, _LEAST_ELAPSED_S)
        wanted_per_s = self._asked / elapsed_s * _HEADROOM
        self._asked = 0
        self._counted_s = now_s
        return max(wanted_per_s, _LEAST_WANTED_PER_S)
