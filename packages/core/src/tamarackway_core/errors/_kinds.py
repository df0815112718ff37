"""Exception classes whose messages include a remedy."""

from collections.abc import Sequence
from dataclasses import dataclass


class TamarackwayError(Exception):
    """Base class of all errors that tamarackway raises.

    :param problem: description of the problem.
    :param remedy: how to resolve it.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        """Keep problem and remedy separate for structured responses."""
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class SettingsError(TamarackwayError):
    """The settings file is not valid."""


class WireError(TamarackwayError):
    """A message from another process cannot be decoded."""


class ConflictError(TamarackwayError):
    """The plan was changed concurrently by another operator.

    :param problem: description of the problem.
    :param remedy: how to resolve it.
    :param rows: labels of the sheet rows that differ.
    """

    def __init__(self, problem: str, remedy: str, rows: Sequence[str]) -> None:
        """Store the labels of the rows that differ."""
        super().__init__(problem, remedy)
        self.rows = tuple(rows)


@dataclass(frozen=True, slots=True)
class SheetFault:
    """An error in a sheet.

    :param line: line number in the file; the header is line 1.
    :param column: name of the column, or an empty string for the whole row.
    :param problem: description of the error.
    :param remedy: how to correct it.
    """

    line: int
    column: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Return the error as one line of text."""
        location = f'line {self.line}'
        if self.column:
            location = f'{location}, column {self.column}'
        return f'{location}: {self.problem}; {self.remedy}'


class SheetError(TamarackwayError):
    """A sheet was rejected because of errors.

    :param faults: all errors that were found, in order of their lines.
    """

    def __init__(self, faults: Sequence[SheetFault]) -> None:
        """List all errors in the message."""
        listing = '\n'.join(str(fault) for fault in faults)
        super().__init__(
            f'the sheet has {len(faults)} error(s):\n{listing}',
            'correct these cells and submit the sheet again',
        )
        self.faults = tuple(faults)
