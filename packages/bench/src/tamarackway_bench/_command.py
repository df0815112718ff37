"""Command line: demonstration, benchmarks and slopes."""

import anyio
import typer

from tamarackway_bench.demo import run_demo

app = typer.Typer(
    help=__doc__,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@app.callback()
def describe() -> None:
    """Run a part of the test bench."""


@app.command()
def demo() -> None:
    """Run the demonstration of the main path."""
    anyio.run(run_demo)
    typer.echo('demonstration: every step held')
