"""Share of one instance in a cap, with a lease that it renews."""

from dataclasses import replace
from typing import Final

from tamarackway_core.limits._leases import (
    FIRST_HISTORY,
    LEASE_DURATION_S,
    LeaseObserver,
    LeaseTable,
    grant,
)

_DEMAND_MARGIN: Final = 1.3  # lets the demand grow until the next renewal
_MIN_WANTED_PER_S: Final = 1.0
_MIN_ELAPSED_S: Final = 0.5  # shorter times overestimate the rate


class LeasedShare:
    """Share of a cap that consists of a floor and a leased part.

    :param holder: name and incarnation of the entry instance.
    :param cap_per_s: maximum requests per second of all instances.
    :param floor_per_s: part of the share that needs no lease.
    :param now_s: monotonic time in seconds.

    To renew the lease, read the leases from the table, call :meth:`propose`,
    write the proposal to the table on the condition that its row is unchanged,
    and call :meth:`confirm` once the write is acknowledged.
    """

    def __init__(
        self,
        holder: str,
        cap_per_s: float,
        floor_per_s: float,
        now_s: float,
    ) -> None:
        """Start with the floor only."""
        self._holder = holder
        self._cap_per_s = cap_per_s
        self._floor_per_s = floor_per_s
        self._leased_per_s: float = 0
        self._proposed_per_s: float = 0
        self._lease_ends_s = now_s
        self._observer = LeaseObserver()
        self._requests = 0
        self._serial = 0
        self._counted_since_s = now_s

    def share_per_s(self, now_s: float) -> float:
        """Return the current share in requests per second.

        :param now_s: monotonic time in seconds.
        """
        if now_s < self._lease_ends_s:
            return self._floor_per_s + self._leased_per_s
        return self._floor_per_s

    def count(self) -> None:
        """Count a request, admitted or not, towards the demand."""
        self._requests += 1

    def change_cap(self, cap_per_s: float, floor_per_s: float) -> None:
        """Change the cap; the leased part shrinks in proportion.

        :param cap_per_s: maximum requests per second of all instances.
        :param floor_per_s: part of the share that needs no lease.
        """
        scale = min(cap_per_s / max(self._cap_per_s, 1), 1)
        self._leased_per_s *= scale
        self._cap_per_s = cap_per_s
        self._floor_per_s = floor_per_s

    def propose(
        self, table: LeaseTable, now_s: float, history: int = FIRST_HISTORY
    ) -> LeaseTable:
        """Return the leases with a renewal for this instance.

        :param table: the leases as just read.
        :param now_s: monotonic time in seconds after the read.
        :param history: history of the table that was read.

        A smaller share takes effect at once, a larger one only once it is
        confirmed.
        """
        if table.history != history:
            table = LeaseTable((), history, is_settled=False)
        if not (table.is_settled or self._observer.has_settled(history, now_s)):
            self._proposed_per_s = 0
            self._leased_per_s = 0
            return table
        granted = grant(
            replace(table, is_settled=True),
            self._cap_per_s,
            self._holder,
            self._estimate_wanted_per_s(now_s),
            self._observer.observe(table, now_s),
            self._serial,
        )
        own = granted.find(self._holder)
        self._proposed_per_s = own.share_per_s if own else 0
        self._serial = own.serial if own else self._serial
        self._leased_per_s = min(self._leased_per_s, self._proposed_per_s)
        return granted

    def confirm(self, read_start_s: float) -> None:
        """Apply the proposed share after the table has acknowledged it.

        :param read_start_s: monotonic time in seconds before the read.
        """
        self._leased_per_s = self._proposed_per_s
        self._lease_ends_s = read_start_s + LEASE_DURATION_S

    def _estimate_wanted_per_s(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._counted_since_s, _MIN_ELAPSED_S)
        wanted_per_s = self._requests / elapsed_s * _DEMAND_MARGIN
        self._requests = 0
        self._counted_since_s = now_s
        return max(wanted_per_s, _MIN_WANTED_PER_S)
