"""Command line of the benchmarks."""

from tamarackway_bench._command import app

app()
