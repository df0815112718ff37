"""Command line: demonstration, benchmarks and slopes."""

from typing import Annotated

import anyio
import typer

from tamarackway_bench.demo import run_demo
from tamarackway_bench.figures import (
    measure_policy,
    measure_processes,
    measure_reports,
    print_figures,
)
from tamarackway_bench.slopes import measure_entry_slopes, measure_slopes

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
    print_figures(measure_reports(quick=quick))


@app.command()
def slopes() -> None:
    """Print how costs grow, and their extrapolation."""
    for slope in measure_slopes():
        typer.echo(str(slope))
    for slope in measure_entry_slopes():
        typer.echo(str(slope))
