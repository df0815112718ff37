"""Budget for the memory of messages."""

import weakref
from typing import Final

_SMALL_BYTES: Final = 65_536  # messages up to this size always fit
_DEFAULT_LIMIT_BYTES: Final = 134_217_728  # until the settings are read


class Reservation:
    """Counts bytes for as long as it is referenced, with what holds them."""


class MemoryBudget:
    """Bounds the bytes of all requests and responses that are held.

    Half of the memory of the process is left for its state, for copies and
    for fragmentation.

    :param limit_bytes: memory limit of the process.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held."""
        self._max_bytes = limit_bytes // 2
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Number of bytes that are held."""
        return self._used_bytes

    def change_limit(self, limit_bytes: int) -> None:
        """Change the memory limit of the process.

        :param limit_bytes: memory limit in bytes.
        """
        self._max_bytes = limit_bytes // 2

    def fits(self, message_bytes: int) -> bool:
        """Return whether a whole message would fit now.

        :param message_bytes: number of its bytes.
        """
        is_within = self._used_bytes + message_bytes <= self._max_bytes
        return is_within or message_bytes <= _SMALL_BYTES

    def add(self, added_bytes: int, message_bytes: int) -> bool:
        """Count bytes of a message; return whether it still fits.

        They count until they are released, whether they fit or not.

        :param added_bytes: number of bytes just received.
        :param message_bytes: number of bytes of that message so far.
        """
        self._used_bytes += added_bytes
        is_within = self._used_bytes <= self._max_bytes
        return is_within or message_bytes <= _SMALL_BYTES

    def release(self, message_bytes: int) -> None:
        """Stop counting bytes, once their memory is free or counted anew.

        :param message_bytes: number of the bytes.
        """
        self._used_bytes -= message_bytes

    def transfer(self, message_bytes: int) -> Reservation:
        """Return a reservation that takes over counted bytes.

        :param message_bytes: number of the bytes.
        """
        reservation = Reservation()
        finalizer = weakref.finalize(reservation, self.release, message_bytes)
        finalizer.atexit = False
        return reservation


# All connections and servers of a process share its memory.
PROCESS_BUDGET: Final = MemoryBudget(_DEFAULT_LIMIT_BYTES)
