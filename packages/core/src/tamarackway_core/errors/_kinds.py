"""Exception classes; each message names the remedy."""

from collections.abc import Sequence
from dataclasses import dataclass


class TamarackwayError(Exception):
    """Root of all errors that tamarackway raises.

    :param problem: what is wrong.
    :param remedy: what the reader can do about it.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Keep the problem and the remedy apart for typed answers."""
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class SettingsError(TamarackwayError):
    """The settings file cannot be used."""


class WireError(TamarackwayError):
    """A message from another process cannot be decoded."""


class ConflictError(TamarackwayError):
    """Another operator changed the plan first.

    :param problem: what is wrong.
    :param remedy: what the reader can do about it.
    :param rows: labels of the sheet rows that differ.
    """

    def __init__(self, problem: str, remedy: str, rows: Sequence[str]) -> None:
        """Keep the labels of the rows that differ."""
        super().__init__(problem, remedy)
        self.rows = tuple(rows)


@dataclass(frozen=True, slots=True)
class SheetFault:
    """One fault of a sheet.

    :param line: line of the file, the header being line 1.
    :param column: name of the column, or an empty string for a whole row.
    :param problem: what is wrong.
    :param remedy: what to enter instead.
    """

    line: int
    column: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        where = f'line {self.line}'
        if self.column:
            where = f'{where}, column {self.column}'
        return f'{where}: {self.problem}; {self.remedy}'


class SheetError(TamarackwayError):
    """A sheet has faults, and nothing of it was taken.

    :param faults: every fault that was found, in the order of the lines.
    """

    def __init__(self, faults: Sequence[SheetFault]) -> None:
        """Summarise the faults in the message."""
        listing = '\n'.join(str(fault) for fault in faults)
        super().__init__(
            f'the sheet has {len(faults)} fault(s):\n{listing}',
            'correct these cells and submit the sheet again',
        )
        self.faults = tuple(faults)
