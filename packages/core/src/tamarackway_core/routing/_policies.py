"""Load balancing policies."""

from collections.abc import Sequence
from typing import Final, Protocol

from tamarackway_core.randomness import RandomSource
from tamarackway_core.routing._tracker import TargetTracker

_SAMPLE_SIZE: Final = 6
_Trackers = Sequence[TargetTracker]


class TargetPolicy(Protocol):
    """Picks one of several usable targets."""

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return one of the candidates; there must be at least one."""


class RandomPolicy:
    """Picks any target with equal probability."""

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return a random candidate."""
        return rng.choice(candidates)


class RoundRobinPolicy:
    """Picks targets in round-robin order."""

    def __init__(self) -> None:
        """Start without a previous pick."""
        self._next_index = 0

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return the next candidate in turn."""
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


class TwoChoicesPolicy:
    """Picks the less loaded of two random targets.

    The method is the power of two choices (Mitzenmacher, 2001).
    """

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return the candidate with fewer own requests in flight."""
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda tracker: tracker.in_flight)


class LeastCostPolicy:
    """Picks the target with the least expected latency of a random sample.

    :param entries: number of entry instances that share the targets.

    The expected latency is the observed latency times the load, which assumes
    that every entry instance has as many requests in flight as this one.
    """

    def __init__(self, entries: int = 1) -> None:
        """Set the number of entry instances."""
        self.entries = entries

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return the sampled candidate with the least expected latency."""
        size = min(_SAMPLE_SIZE, len(candidates))
        return min(rng.sample(candidates, size), key=self.cost_s)

    def cost_s(self, tracker: TargetTracker) -> float:
        """Return the expected latency of a target in seconds."""
        load = 1 + tracker.in_flight * self.entries / tracker.slots
        return tracker.latency_s * load
