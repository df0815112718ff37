"""Exponential backoff with full jitter."""

from typing import Final

from tamarackway_core.randomness import RandomSource

_FACTOR: Final = 2


class Backoff:
    """Delays between attempts to reconnect.

    :param first_s: upper bound of the first delay in seconds.
    :param longest_s: upper bound of all delays in seconds.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        first_s: float,
        longest_s: float,
        rng: RandomSource,
    ) -> None:
        """Start with the shortest delays."""
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng
        self._bound_s = first_s

    def next_s(self) -> float:
        """Return the next delay in seconds and double the bound."""
        delay_s = self._rng.uniform(0, self._bound_s)
        self._bound_s = min(self._bound_s * _FACTOR, self._longest_s)
        return delay_s

    def reset(self) -> None:
        """Reset to the shortest delays."""
        self._bound_s = self._first_s
