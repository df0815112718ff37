"""Linear fits over measured sizes."""

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost at several sizes, and the line through it.

    :param name: what costs.
    :param per: what the sizes count.
    :param unit: unit of the cost.
    :param points: sizes and costs.
    :param slope: cost of one more.
    :param base: cost at size zero.
    :param correlation: how well the line fits; 1 is best.
    :param at: size to extrapolate to.
    """

    name: str
    per: str
    unit: str
    points: tuple[tuple[int, float], ...]
    slope: float
    base: float
    correlation: float
    at: int

    @property
    def extrapolated(self) -> float:
        """Cost at the size to extrapolate to."""
        return self.base + self.slope * self.at

    def __str__(self) -> str:
        """Return the slope as one line."""
        measured = ' '.join(f'{size}:{cost:.4g}' for size, cost in self.points)
        return (
            f'{self.name} per {self.per}: {measured} {self.unit}; '
            f'slope {self.slope:.4g} base {self.base:.4g} '
            f'r {self.correlation:.3f}; at {self.at}: '
            f'{self.extrapolated:.4g} {self.unit}'
        )


def fit(
    name: str,
    per: str,
    unit: str,
    at: int,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """Return the line through costs that are measured at some sizes.

    :param name: what costs.
    :param per: what the sizes count.
    :param unit: unit of the cost.
    :param at: size to extrapolate to.
    :param sizes: sizes to measure, three or more.
    :param measure: returns the cost at a size.
    """
    costs = [measure(size) for size in sizes]
    line = statistics.linear_regression(sizes, costs)
    correlation = 1.0
    if len(set(costs)) > 1:
        correlation = statistics.correlation(sizes, costs)
    return Slope(
        name,
        per,
        unit,
        tuple(zip(sizes, costs, strict=True)),
        line.slope,
        line.intercept,
        correlation,
        at,
    )
