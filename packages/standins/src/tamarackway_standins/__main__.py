"""Entry point of ``python -m tamarackway_standins``."""

from tamarackway_standins._command import app

app()
