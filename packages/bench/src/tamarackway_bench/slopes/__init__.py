"""Linear cost models, extrapolated to the size of the full deployment."""

from tamarackway_bench.slopes._entry import (
    measure_entry_slopes as measure_entry_slopes,
)
from tamarackway_bench.slopes._fit import LinearFit as LinearFit
from tamarackway_bench.slopes._fit import fit_line as fit_line
from tamarackway_bench.slopes._measure import measure_slopes as measure_slopes
