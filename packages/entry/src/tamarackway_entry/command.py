"""Command line of tamarackd."""

import sys
from pathlib import Path
from typing import Annotated, Final

import anyio
import typer
from tamarackway_core.errors import SettingsError

from tamarackway_entry.admin import hash_token as hash_text
from tamarackway_entry.assembly import build_kernel
from tamarackway_entry.settings import Settings, load_settings
from tamarackway_entry.telemetry import configure_logging

_BAD_SETTINGS: Final = 2
app = typer.Typer(
    help='The daemon of an entry instance.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
_SettingsOption = Annotated[
    Path,
    typer.Option('--settings', help='TOML file with the settings.'),
]


@app.command()
def run(settings: _SettingsOption) -> None:
    """Run the daemon until SIGTERM."""
    loaded = _load_or_exit(settings)
    configure_logging(loaded.telemetry.log_level, loaded.instance.name)
    anyio.run(_run, loaded)


@app.command()
def check(settings: _SettingsOption) -> None:
    """Check the settings and exit."""
    loaded = _load_or_exit(settings)
    typer.echo(f'settings of {loaded.instance.name} are correct')


@app.command()
def hash_token() -> None:
    """Read a token from standard input and print its hash."""
    typer.echo(hash_text(sys.stdin.readline().rstrip('\n')))


def main() -> None:
    """Run the command line."""
    app()


async def _run(settings: Settings) -> None:
    await build_kernel(settings).run(until='shutdown')


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsError as error:
        typer.echo(f'tamarackd: {error}', err=True)
        raise typer.Exit(_BAD_SETTINGS) from error
