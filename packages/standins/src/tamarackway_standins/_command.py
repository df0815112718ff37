"""Command line: one command for each stand-in."""

from typing import Annotated

import typer

from tamarackway_standins.instances import build_instances_app
from tamarackway_standins.links import run_links
from tamarackway_standins.objects import build_objects_app
from tamarackway_standins.serving import serve
from tamarackway_standins.store import RowLog, build_store_app
from tamarackway_standins.table import Rows, build_table_app
from tamarackway_standins.targets import TargetApp, TargetSettings

app = typer.Typer(help=__doc__, no_args_is_help=True)
_Listen = Annotated[str, typer.Option(help='IP number and port.')]


@app.command()
def table(listen: _Listen) -> None:
    """Serve a transactional table."""
    serve(build_table_app(Rows()), listen)


@app.command()
def store(listen: _Listen) -> None:
    """Serve the platform's store of rows and objects."""
    serve(build_store_app(RowLog()), listen)


@app.command()
def objects(listen: _Listen) -> None:
    """Serve an object store."""
    serve(build_objects_app(), listen)


@app.command()
def instances(
    listen: _Listen,
    lag_s: Annotated[float, typer.Option(help='Lag of the list.')] = 1.0,
) -> None:
    """Serve a lagging list of instances."""
    serve(build_instances_app(lag_s), listen)


@app.command()
def links(listen: _Listen) -> None:
    """Serve the links between places."""
    run_links(listen)


@app.command()
def target(
    listen: _Listen,
    name: Annotated[str, typer.Option(help='Name of the target.')],
    service: Annotated[str, typer.Option(help='Service that it runs.')],
    slots: Annotated[int, typer.Option(help='Requests at once.')] = 3,
    queue: Annotated[int, typer.Option(help='Requests that may wait.')] = 30,
    work_s: Annotated[float, typer.Option(help='Mean work time.')] = 0.01,
    cold_s: Annotated[float, typer.Option(help='Cold time.')] = 0,
    seed: Annotated[int, typer.Option(help='Seed of work times.')] = 1,
    journal: Annotated[str, typer.Option(help='File of runs.')] = '',
) -> None:
    """Serve a target."""
    settings = TargetSettings(
        name,
        service,
        slots,
        queue,
        work_s,
        cold_s,
        seed,
        journal,
    )
    serve(TargetApp(settings), listen)
