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
        self.loaded = False
        self.confirmed_s = -math.inf
        self.behind_since_s = math.inf

    def confirm(self, moment_s: float) -> None:
        """Note that all changes up to a moment are known.

        :param moment_s: monotonic time in seconds.
        """
        self.confirmed_s = max(self.confirmed_s, moment_s)

    def advance(self, position: int) -> None:
        """Note that all changes up to a version are known.

        :param position: version of the store.
        """
        self.position = max(self.position, position)
        self.loaded = True

    def compare(self, position: int, moment_s: float, now_s: float) -> None:
        """Take in how far a peer knows the table.

        :param position: version that the peer knows.
        :param moment_s: when the store last confirmed it to the peer.
        :param now_s: monotonic time in seconds.

        A peer that is ahead has sent its changes; they are late if they are
        still missing after a while.
        """
        if position <= self.position:
            self.confirm(moment_s)
            self.behind_since_s = math.inf
        else:
            self.behind_since_s = min(self.behind_since_s, now_s)
