"""Command line: demonstration, benchmarks and slopes."""

from typing import Annotated

import anyio
import typer

from tamarackway_bench.demo import run_demo
from tamarackway_bench.figures import (
    measure_policy,
    measure_processes,
    print_figures,
)

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


@app.command()
def figures(
    *,
    quick: Annotated[bool, typer.Option(help='Under a minute.')] = False,
) -> None:
    """Print a line ``name value unit`` for each figure."""
    print_figures(measure_policy(quick=quick))
    print_figures(measure_processes(quick=quick))
