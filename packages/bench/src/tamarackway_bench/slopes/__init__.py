"""How costs grow with size, and what that means at the letter's size."""

from tamarackway_bench.slopes._entry import (
    measure_entry_slopes as measure_entry_slopes,
)
from tamarackway_bench.slopes._fit import Slope as Slope
from tamarackway_bench.slopes._fit import fit as fit
from tamarackway_bench.slopes._measure import measure_slopes as measure_slopes
