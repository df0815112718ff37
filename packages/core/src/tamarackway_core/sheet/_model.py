"""Data classes for the rows of a sheet and for plans."""

import enum
from dataclasses import dataclass
from typing import Final

from tamarackway_core.numbers import Serial

COLUMNS: Final = (
    'row',
    'kind',
    'service',
    'region',
    'to_region',
    'target',
    'amount',
    'unit',
    'reason',
)


class RowKind(enum.StrEnum):
    """Kind of a row."""

    LOOKUP = 'lookup'
    ONCE = 'once'
    SERVE = 'serve'
    CAPACITY = 'capacity'
    LINK = 'link'
    MOVE = 'move'
    LEAVE = 'leave'


@dataclass(frozen=True, slots=True)
class PlanRow:
    """One row of a sheet.

    :param row: label of the row.
    :param kind: kind of the row.
    :param service: service that the row applies to, or an empty string.
    :param region: region that the row applies to, or an empty string.
    :param to_region: other end of a link, or an empty string.
    :param target: target that the row applies to, or an empty string.
    :param amount: amount in ``unit``; 0 for kinds without an amount.
    :param unit: unit of the amount, determined by the kind.
    :param reason: reason for the row as entered by the planners.
    """

    row: str
    kind: RowKind
    service: str
    region: str
    to_region: str
    target: str
    amount: float
    unit: str
    reason: str

    def describe(self) -> str:
        """Return a description of the row in one line."""
        subjects = (
            self.service,
            self.region,
            self.to_region,
            self.target,
        )
        words = ' '.join(subject for subject in subjects if subject)
        amount = f' {self.amount:g} {self.unit}' if self.unit else ''
        return f'row {self.row}: {self.kind} {words}{amount} ({self.reason})'


@dataclass(frozen=True, slots=True)
class Plan:
    """Rows of one sheet in the order of the file."""

    rows: tuple[PlanRow, ...]


@dataclass(frozen=True, slots=True)
class AcceptedPlan:
    """A plan that was committed to the table.

    :param version: increases by one with each accepted plan.
    :param digest: hexadecimal SHA-256 digest of the sheet.
    :param author: operator who submitted the sheet.
    :param accepted_at_s: time of acceptance in seconds since the epoch,
        according to the clock of the accepting entry instance.
    :param sheet: text of the sheet.
    :param history: history of the table in which it was committed. A table that
        was restored from a copy gives versions out again.
    """

    version: int
    digest: str
    author: str
    accepted_at_s: float
    sheet: str
    history: Serial = 0

    @property
    def order(self) -> tuple[int, int]:
        """History and version, which order all accepted plans."""
        return (self.history, self.version)
