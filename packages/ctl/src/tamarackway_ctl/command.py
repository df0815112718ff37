"""Commands of tamarackctl."""

import csv
import io
import json
import sys
from collections.abc import Generator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer
from tamarackway_core.errors import SheetError
from tamarackway_core.sheet import diff_plans, parse_sheet

from tamarackway_ctl.client import AdminClient, ApiError, ExitCode
from tamarackway_ctl.tables import print_table
from tamarackway_ctl.trace import find_related_lines, parse_lines

app = typer.Typer(
    help='Operates tamarackway. Exit codes: docs/OPERATING.md.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
plan_app = typer.Typer(
    help='Commands on the routing plan.', no_args_is_help=True
)
app.add_typer(plan_app, name='plan')

_Entry = Annotated[
    str,
    typer.Option(
        '--entry',
        envvar='TAMARACKCTL_ENTRY',
        help='Administration address of any entry instance.',
    ),
]
_Token = Annotated[
    str,
    typer.Option(
        '--token',
        envvar='TAMARACKCTL_TOKEN',
        help='Bearer token of the operator.',
    ),
]
_Json = Annotated[bool, typer.Option('--json', help='Print JSON.')]
_Sheet = Annotated[Path, typer.Argument(help='CSV file, or - for stdin.')]


@app.command()
def trace(
    request_id: Annotated[str, typer.Argument(help='Request ID.')],
    logs: Annotated[list[Path], typer.Argument(help='Log files to search.')],
) -> None:
    """Show the log lines that explain how a request ended."""
    raw_lines = (
        text for path in logs for text in path.read_text().splitlines()
    )
    related = find_related_lines(list(parse_lines(raw_lines)), request_id)
    if not related:
        typer.echo(f'no log line of request {request_id} found', err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    for line in related:
        typer.echo(line.describe())


@plan_app.command()
def submit(
    sheet: _Sheet,
    entry: _Entry,
    token: _Token,
    *,
    base_version: Annotated[
        int | None,
        typer.Option(
            help='Reject the sheet unless this plan version is in force.'
        ),
    ] = None,
    as_json: _Json = False,
) -> None:
    """Submit a sheet as the new plan."""
    with _exit_on_error(as_json=as_json):
        client = AdminClient(entry, token)
        response = client.submit_plan(_read_sheet(sheet), base_version)
    _print_accepted_plan(response, as_json=as_json)


@plan_app.command()
def show(entry: _Entry, token: _Token, *, as_json: _Json = False) -> None:
    """Show the sheet in force."""
    with _exit_on_error(as_json=as_json):
        plan = AdminClient(entry, token).get_plan()
    if as_json:
        _print_json(plan)
        return
    title = f'plan version {plan["version"]} by {plan["author"]}'
    header, *rows = csv.reader(io.StringIO(plan['sheet'], newline=''))
    print_table(title, header, (row for row in rows if row))


@plan_app.command()
def diff(
    sheet: _Sheet,
    entry: _Entry,
    token: _Token,
    *,
    as_json: _Json = False,
) -> None:
    """Show how a sheet differs from the one in force."""
    with _exit_on_error(as_json=as_json):
        plan = AdminClient(entry, token).get_plan()
        new = parse_sheet(_read_sheet(sheet).decode())
    changes = [
        (
            change.row,
            change.before.describe() if change.before else '-',
            change.after.describe() if change.after else '-',
        )
        for change in diff_plans(parse_sheet(plan['sheet']), new)
    ]
    if as_json:
        _print_json([
            dict(zip(('row', 'before', 'after'), change, strict=True))
            for change in changes
        ])
        return
    title = f'changes to plan version {plan["version"]}'
    print_table(title, ('row', 'before', 'after'), changes)


@plan_app.command()
def history(entry: _Entry, token: _Token, *, as_json: _Json = False) -> None:
    """List the accepted plans."""
    with _exit_on_error(as_json=as_json):
        plans = AdminClient(entry, token).list_history()
    if as_json:
        _print_json(plans)
        return
    columns = ('version', 'author', 'accepted_at_s', 'digest')
    rows = ([plan[column] for column in columns] for plan in plans)
    print_table('history', columns, rows)


@app.command()
def drain(
    target: Annotated[str, typer.Argument(help='Name of the target.')],
    entry: _Entry,
    token: _Token,
    *,
    reason: Annotated[
        str,
        typer.Option(help='Reason to record in the sheet.'),
    ] = 'drained by an operator',
    as_json: _Json = False,
) -> None:
    """Drain a target by adding a row to the sheet."""
    with _exit_on_error(as_json=as_json):
        response = AdminClient(entry, token).drain_target(target, reason)
    _print_accepted_plan(response, as_json=as_json)


@app.command()
def status(entry: _Entry, token: _Token, *, as_json: _Json = False) -> None:
    """Show the state of all entry instances and targets."""
    with _exit_on_error(as_json=as_json):
        response = AdminClient(entry, token).get_status()
    if as_json:
        _print_json(response)
        return
    for kind in ('entries', 'targets'):
        rows: list[dict[str, Any]] = response[kind]
        columns = list(rows[0]) if rows else [kind]
        print_table(kind, columns, (list(row.values()) for row in rows))


@app.command()
def explain(
    request_id: Annotated[
        str, typer.Argument(help='Request ID from the response.')
    ],
    entry: _Entry,
    token: _Token,
    *,
    as_json: _Json = False,
) -> None:
    """Explain the routing decision on a recent request."""
    with _exit_on_error(as_json=as_json):
        lines = AdminClient(entry, token).explain_request(request_id)
    if as_json:
        _print_json(lines)
        return
    for line in lines:
        typer.echo(line)


def main() -> None:
    """Run the command line."""
    app()


@contextmanager
def _exit_on_error(*, as_json: bool) -> Generator[None]:
    try:
        yield
    except ApiError as error:
        _fail(error.document, str(error), error.exit_code, as_json=as_json)
    except SheetError as error:
        document = {
            'error': 'sheet-faults',
            'faults': [str(fault) for fault in error.faults],
        }
        _fail(document, str(error), ExitCode.SHEET_FAULTS, as_json=as_json)


def _fail(
    document: dict[str, Any],
    message: str,
    exit_code: ExitCode,
    *,
    as_json: bool,
) -> None:
    if as_json:
        _print_json(document)
    typer.echo(f'tamarackctl: {message}', err=True)
    raise typer.Exit(exit_code)


def _read_sheet(path: Path) -> bytes:
    if str(path) == '-':
        return sys.stdin.buffer.read()
    try:
        return path.read_bytes()
    except OSError as error:
        typer.echo(
            f'tamarackctl: cannot read sheet {path}: {error}; '
            'specify a readable file',
            err=True,
        )
        raise typer.Exit(ExitCode.USAGE) from error


def _print_accepted_plan(response: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        _print_json(response)
        return
    typer.echo(
        f'plan version {response["version"]} accepted; '
        f'in force on {response["peers_told"]} other entry instances',
    )


def _print_json(document: Any) -> None:
    typer.echo(json.dumps(document, indent=2))
