"""Protocol for random number generators."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

_Element = TypeVar('_Element')


class RandomSource(Protocol):
    """Random number generator, such as :class:`random.Random`."""

    def uniform(self, a: float, b: float) -> float:  # noqa: WPS111
        """Return a uniformly distributed number between two bounds."""

    def choice(self, seq: Sequence[_Element]) -> _Element:
        """Return a random element of a non-empty sequence."""

    def sample(
        self,
        population: Sequence[_Element],
        k: int,  # noqa: WPS111
    ) -> list[_Element]:
        """Return a random sample without replacement."""
