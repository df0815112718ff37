"""Entry point of ``python -m tamarackway_bench``."""

from tamarackway_bench._command import app

app()
