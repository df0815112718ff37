"""Memory budget of the responses that are being received."""

from typing import Final

_SMALL_BYTES: Final = 262_144  # responses up to this size always fit


class ReceiveBudget:
    """Bounds the bytes of all responses that are being received.

    :param max_bytes: largest number of bytes in total.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start with nothing received."""
        self._max_bytes = max_bytes
        self._used_bytes = 0

    def add(self, received_bytes: int, response_bytes: int) -> bool:
        """Count received bytes; return whether their response still fits.

        :param received_bytes: number of bytes just received.
        :param response_bytes: number of bytes of that response so far.
        """
        self._used_bytes += received_bytes
        is_within = self._used_bytes <= self._max_bytes
        return is_within or response_bytes <= _SMALL_BYTES

    def release(self, response_bytes: int) -> None:
        """Release the bytes of a response that is complete or discarded.

        :param response_bytes: number of its bytes.
        """
        self._used_bytes -= response_bytes
