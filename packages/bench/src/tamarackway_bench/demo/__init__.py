"""The demonstration of the main path."""

from tamarackway_bench.demo._demo import run_demo as run_demo
