"""Command line of the stand-ins."""

from tamarackway_standins._command import app

app()
