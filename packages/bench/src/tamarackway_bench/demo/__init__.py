"""End-to-end demonstration."""

from tamarackway_bench.demo._demo import run_demo as run_demo
