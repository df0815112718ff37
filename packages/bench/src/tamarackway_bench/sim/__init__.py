"""Discrete-event simulation of the routing code with fake targets."""

from tamarackway_bench.sim._experiment import Experiment as Experiment
from tamarackway_bench.sim._experiment import Policy as Policy
from tamarackway_bench.sim._experiment import Slowness as Slowness
from tamarackway_bench.sim._results import Results as Results
from tamarackway_bench.sim._run import run_experiment as run_experiment
