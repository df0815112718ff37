"""Protocol of a source of random numbers, such as :class:`random.Random`."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

_Element = TypeVar('_Element')


class RandomSource(Protocol):
    """Draws random numbers; the standard library's generators fit."""

    def uniform(self, a: float, b: float) -> float:  # noqa: WPS111
        """Return a number between two bounds."""

    def choice(self, seq: Sequence[_Element]) -> _Element:
        """Return an element of a sequence that is not empty."""

    def sample(
        self,
        population: Sequence[_Element],
        k: int,  # noqa: WPS111
    ) -> list[_Element]:
        """Return distinct elements of a sequence."""
