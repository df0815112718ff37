"""Command line: demonstration, benchmarks and cost models."""

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
    """Run the demonstration or a benchmark."""


@app.command()
def demo() -> None:
    """Run the end-to-end demonstration."""
    anyio.run(run_demo)
    typer.echo('demonstration: all steps passed')


@app.command()
def figures(
    *,
    quick: Annotated[bool, typer.Option(help='Run in under a minute.')] = False,
) -> None:
    """Run the benchmarks; print ``name value unit`` for each figure."""
    print_figures(measure_policy(quick=quick))
    print_figures(measure_processes(quick=quick))
    print_figures(measure_reports(quick=quick))


@app.command()
def slopes() -> None:
    """Fit and print how costs grow with size, with an extrapolation."""
    for slope in measure_slopes():
        typer.echo(str(slope))
    for slope in measure_entry_slopes():
        typer.echo(str(slope))
