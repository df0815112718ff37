"""Prints rows as a table with rich."""

from collections.abc import Iterable, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table


def print_table(
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[Any]],
) -> None:
    """Print rows as a table on standard output.

    :param title: title of the table.
    :param columns: column headings.
    :param rows: cells of each row, in column order.
    """
    table = Table(*columns, title=title, title_justify='left')
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)
