"""One figure and how it is printed."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured number with its unit.

    :param name: name of the figure.
    :param value: what was measured.
    :param unit: unit of the value.
    :param at_most: greatest value that meets the target, or None.
    :param at_least: least value that meets the target, or None.
    """

    name: str
    value: float
    unit: str
    at_most: float | None = None
    at_least: float | None = None

    def check_bound(self) -> str:
        """Return whether the target is met, or an empty string without one."""
        if self.at_most is not None:
            status = 'met' if self.value <= self.at_most else 'NOT-MET'
            return f'target<={self.at_most:g} {status}'
        if self.at_least is not None:
            status = 'met' if self.value >= self.at_least else 'NOT-MET'
            return f'target>={self.at_least:g} {status}'
        return ''

    def __str__(self) -> str:
        """Return the line ``name value unit verdict``."""
        line = f'{self.name} {self.value:.3f} {self.unit} {self.check_bound()}'
        return line.rstrip()


def print_figures(figures: Iterable[Figure]) -> None:
    """Print a line for each figure."""
    for figure in figures:
        print(figure, flush=True)
