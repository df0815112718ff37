"""Benchmarks of the routing policy and of an entry instance's overhead."""

from tamarackway_bench.figures._figure import Figure as Figure
from tamarackway_bench.figures._figure import print_figures as print_figures
from tamarackway_bench.figures._policy import measure_policy as measure_policy
from tamarackway_bench.figures._processes import (
    measure_processes as measure_processes,
)
from tamarackway_bench.figures._processes import read_cpu_s as read_cpu_s
from tamarackway_bench.figures._processes import (
    read_resident_mib as read_resident_mib,
)
from tamarackway_bench.figures._processes import (
    submit_example as submit_example,
)
from tamarackway_bench.figures._reports import (
    measure_reports as measure_reports,
)
