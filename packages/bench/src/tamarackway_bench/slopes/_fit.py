"""Linear regression of measured costs over size."""

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A linear model of a cost as a function of size.

    :param name: name of the cost.
    :param size_unit: unit that the sizes count.
    :param cost_unit: unit of the cost.
    :param points: measured pairs of size and cost.
    :param slope: cost per unit of size.
    :param intercept: cost at size zero.
    :param correlation: Pearson correlation of size and cost.
    :param extrapolation_size: size to extrapolate to.
    """

    name: str
    size_unit: str
    cost_unit: str
    points: tuple[tuple[int, float], ...]
    slope: float
    intercept: float
    correlation: float
    extrapolation_size: int

    @property
    def extrapolated(self) -> float:
        """Predicted cost at ``extrapolation_size``."""
        return self.intercept + self.slope * self.extrapolation_size

    def __str__(self) -> str:
        """Return points, coefficients and extrapolation as one line."""
        measured = ' '.join(f'{size}:{cost:.4g}' for size, cost in self.points)
        return (
            f'{self.name} per {self.size_unit}: {measured} {self.cost_unit}; '
            f'slope {self.slope:.4g} base {self.intercept:.4g} '
            f'r {self.correlation:.3f}; at {self.extrapolation_size}: '
            f'{self.extrapolated:.4g} {self.cost_unit}'
        )


def fit_line(
    name: str,
    size_unit: str,
    cost_unit: str,
    extrapolation_size: int,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> LinearFit:
    """Measure a cost at several sizes and fit a line by least squares.

    :param name: name of the cost.
    :param size_unit: unit that the sizes count.
    :param cost_unit: unit of the cost.
    :param extrapolation_size: size to extrapolate to.
    :param sizes: sizes to measure, at least three.
    :param measure: returns the cost at a size.
    """
    costs = [measure(size) for size in sizes]
    line = statistics.linear_regression(sizes, costs)
    correlation = 1.0
    if len(set(costs)) > 1:
        correlation = statistics.correlation(sizes, costs)
    return LinearFit(
        name,
        size_unit,
        cost_unit,
        tuple(zip(sizes, costs, strict=True)),
        line.slope,
        line.intercept,
        correlation,
        extrapolation_size,
    )
