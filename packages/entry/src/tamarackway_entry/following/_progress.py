"""How far one table is known, and when that was last confirmed."""

import math


class Progress:
    """Position in one table.

    :param table: name of the table.
    """

    def __init__(self, table: str) -> None:
        """Start without rows."""
        self.table = table
        self.position = 0
        self.last_change = 0
        self.loaded = False
        self.polled_s = -math.inf
        self.confirmed_s = -math.inf
        self.behind_since_s = math.inf

    def advance(self, position: int, last_change: int) -> None:
        """Note that all changes up to a version are known.

        :param position: version of the store.
        :param last_change: version of the last changed row, 0 for none.
        """
        self.position = max(self.position, position)
        self.last_change = max(self.last_change, last_change)
        self.loaded = True

    def record_poll(self, now_s: float) -> None:
        """Note that the store itself has told all changes.

        :param now_s: monotonic time in seconds.
        """
        self.polled_s = now_s
        self.confirmed_s = now_s
        self.behind_since_s = math.inf

    def update_from_peer(
        self, last_change: int, polled_s: float, now_s: float
    ) -> None:
        """Take in how far a peer knows the table.

        :param last_change: version of the last change that the peer knows.
        :param polled_s: when the store itself last told it so.
        :param now_s: monotonic time in seconds.

        A peer that is ahead has sent its changes; they are late if they are
        still missing after a while. What a peer has only heard confirms
        nothing, or two peers could confirm each other for ever.
        """
        if last_change <= self.position:
            self.confirmed_s = max(self.confirmed_s, polled_s)
            self.behind_since_s = math.inf
        else:
            self.behind_since_s = min(self.behind_since_s, now_s)
