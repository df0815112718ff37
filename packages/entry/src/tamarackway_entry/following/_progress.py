"""Replication progress of one table."""

import math
from typing import Final

# Entries of live targets that lapsed in the restored copy are back by then.
_RESTORED_S: Final = 2.0


class Progress:
    """Version up to which a table is known, and when it was confirmed.

    ``position`` is the version of the store up to which all changes are known.
    It also grows with writes to other tables, while ``last_change`` is the
    version of the last change of this table. Loaded rows do not show earlier
    removals, so the table's changes are complete only after ``known_from``, the
    version at which it was loaded. ``polled_s`` is the time of the
    last read from the store, ``confirmed_s`` the latest time at which such a
    read, here or by a peer, showed the table to be complete. Changes known to
    a peer have been missing here since ``behind_since_s``: infinity if none
    are missing, minus infinity to poll without waiting for a relay.

    All versions belong to ``history``. If ``must_load`` is set, the store no
    longer has the changes after ``position``, and the rows must be loaded
    before any change is applied; a table that is loaded stays in use meanwhile.
    ``loads`` counts the loads since changes were last read, and
    ``restored_s`` is the time at which a newer history was first loaded.

    :param table: name of the table.
    """

    def __init__(self, table: str) -> None:
        """Start with no rows loaded."""
        self.table = table
        self.history = 0
        self.position = 0
        self.last_change = 0
        self.known_from = 0
        self.is_loaded = False
        self.must_load = True
        self.loads = 0
        self.restored_s = -math.inf
        self.polled_s = -math.inf
        self.confirmed_s = -math.inf
        self.behind_since_s = math.inf

    def advance(self, position: int, last_change: int) -> None:
        """Record that all changes up to a version of the history are known.

        :param position: version of the store.
        :param last_change: version of the last changed row, 0 for none.
        """
        self.position = max(self.position, position)
        self.last_change = max(self.last_change, last_change)
        self.is_loaded = True

    def load(
        self, history: int, position: int, last_change: int, now_s: float
    ) -> None:
        """Record that all rows were read, whatever was known before.

        :param history: history of the store that was read.
        :param position: version of the store.
        :param last_change: version of the last changed row, 0 for none.
        :param now_s: monotonic time in seconds.
        """
        if self.is_loaded and history > self.history:
            self.restored_s = now_s
        self.history = history
        self.position = position
        self.last_change = last_change
        self.known_from = position
        self.is_loaded = True
        self.must_load = False
        self.loads += 1

    def was_just_restored(self, now_s: float) -> bool:
        """Return whether a restored store was loaded a moment ago.

        :param now_s: monotonic time in seconds.
        """
        return now_s - self.restored_s < _RESTORED_S

    def end_history(self) -> None:
        """Record that the changes after the known ones cannot be read."""
        self.must_load = True

    def record_poll(self, read_s: float) -> None:
        """Record that the table was read from the store itself.

        :param read_s: monotonic time in seconds of the read.
        """
        self.polled_s = read_s
        self.confirmed_s = max(self.confirmed_s, read_s)
        self.behind_since_s = math.inf

    def update_from_peer(
        self,
        last_change: int,
        known_from: int,
        polled_s: float,
        now_s: float,
    ) -> None:
        """Update from the progress that a peer reports.

        :param last_change: version of the last change known to the peer.
        :param known_from: version after which the peer knows all changes.
        :param polled_s: time of the peer's last read of the store, by the
            monotonic clock of this instance.
        :param now_s: monotonic time in seconds.

        A peer that is ahead relays its changes if it is elected; if they do
        not arrive in time, they must be read from the store. Only reads of the
        store count as confirmation; otherwise two peers could confirm each
        other forever. A peer that loaded the table after this position may not
        know of removals in between, so it confirms nothing.
        """
        if last_change > self.position:
            self.behind_since_s = min(self.behind_since_s, now_s)
        elif known_from <= self.position:
            self.confirmed_s = max(self.confirmed_s, polled_s)
            self.behind_since_s = math.inf
