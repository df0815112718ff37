"""A benchmark result and its text output."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A benchmark result with an optional bound.

    :param name: name of the figure.
    :param value: measured value.
    :param unit: unit of the value.
    :param at_most: upper bound that the value must meet, or None.
    :param at_least: lower bound that the value must meet, or None.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def check_bound(self) -> str:
        """Return the bound and whether it is met, or an empty string."""
        if self.at_most is not None:
            status = 'met' if self.value <= self.at_most else 'NOT-MET'
            return f'target<={self.at_most:g} {status}'
        if self.at_least is not None:
            status = 'met' if self.value >= self.at_least else 'NOT-MET'
            return f'target>={self.at_least:g} {status}'
        return ''

    def __str__(self) -> str:
        """Return the line ``name value unit``, followed by the bound check."""
        line = f'{self.name} {self.value:.3f} {self.unit} {self.check_bound()}'
        return line.rstrip()


def print_figures(figures: Iterable[Figure]) -> None:
    """Print a line for each figure."""
    for figure in figures:
        print(figure, flush=True)
