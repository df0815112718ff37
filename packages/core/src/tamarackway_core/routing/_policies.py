"""Policies that pick one of several targets."""

from collections.abc import Sequence
from typing import Final, Protocol

from tamarackway_core.randomness import RandomSource
from tamarackway_core.routing._tracker import TargetTracker

_SAMPLE_SIZE: Final = 6
_Trackers = Sequence[TargetTracker]


class TargetPolicy(Protocol):
    """Picks a target among candidates that may all be used."""

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return one of the candidates, of which there is at least one."""


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
    """Picks targets in turn."""

    def __init__(self) -> None:
        """Start at the first target."""
        self._turn = 0

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


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
    """Picks the target with the least expected wait of a random sample.

    :param entries: entry instances that share the targets.

    The expected wait is the observed latency times the load, where the load
    counts own requests in flight as if every entry had as many.
    """

    def __init__(self, entries: int = 1) -> None:
        """Remember how many entries share the targets."""
        self.entries = entries

    def pick(
        self,
        candidates: _Trackers,
        rng: RandomSource,
    ) -> TargetTracker:
        """Return the sampled candidate with the least expected wait."""
        size = min(_SAMPLE_SIZE, len(candidates))
        return min(rng.sample(candidates, size), key=self.cost_s)

    def cost_s(self, tracker: TargetTracker) -> float:
        """Return the expected wait at a target in seconds."""
        load = 1 + tracker.in_flight * self.entries / tracker.slots
        return tracker.latency_s * load
