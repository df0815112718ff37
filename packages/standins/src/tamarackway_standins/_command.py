"""Runs a fake service, target or network for tests."""

from typing import Annotated

import typer

from tamarackway_standins.instances import build_instances_app
from tamarackway_standins.links import run_links
from tamarackway_standins.objects import build_objects_app
from tamarackway_standins.serving import serve
from tamarackway_standins.store import RowStore, build_store_app
from tamarackway_standins.table import Rows, build_table_app
from tamarackway_standins.targets import TargetApp, TargetSettings

app = typer.Typer(help=__doc__, no_args_is_help=True)
_Listen = Annotated[str, typer.Option(help='IP address and port to listen on.')]


@app.command()
def table(listen: _Listen) -> None:
    """Serve the platform's transactional table."""
    serve(build_table_app(Rows()), listen)


@app.command()
def store(listen: _Listen) -> None:
    """Serve the platform's store of rows and blobs."""
    serve(build_store_app(RowStore()), listen)


@app.command()
def objects(listen: _Listen) -> None:
    """Serve the platform's object store."""
    serve(build_objects_app(), listen)


@app.command()
def instances(
    listen: _Listen,
    lag_s: Annotated[
        float, typer.Option(help='Delay in s before changes show.')
    ] = 1.0,
) -> None:
    """Serve the platform's instance list, which lags behind changes."""
    serve(build_instances_app(lag_s), listen)


@app.command()
def links(listen: _Listen) -> None:
    """Serve the simulated network links between places."""
    run_links(listen)


@app.command()
def target(
    listen: _Listen,
    name: Annotated[str, typer.Option(help='Name of the target.')],
    service: Annotated[str, typer.Option(help='Name of its service.')],
    slots: Annotated[int, typer.Option(help='Concurrent requests.')] = 3,
    queue: Annotated[int, typer.Option(help='Maximum queue length.')] = 30,
    work_s: Annotated[
        float, typer.Option(help='Mean service time in s.')
    ] = 0.01,
    cold_s: Annotated[float, typer.Option(help='Warm-up period in s.')] = 0,
    seed: Annotated[int, typer.Option(help='Seed of the service times.')] = 1,
    journal: Annotated[
        str, typer.Option(help='Journal file of executed requests.')
    ] = '',
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
