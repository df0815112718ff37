"""Frozen data classes for the rows of a sheet and the plan they form."""

import enum
from dataclasses import dataclass
from typing import Final

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
    """What a row of the sheet rules."""

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

    :param row: label that operators know the row by.
    :param kind: what the row rules.
    :param service: service that the row is about, or an empty string.
    :param region: region that the row is about, or an empty string.
    :param to_region: far end of a link, or an empty string.
    :param target: target that the row is about, or an empty string.
    :param amount: number of the row, in ``unit``; 0 where the kind has none.
    :param unit: unit of the amount, fixed by the kind.
    :param reason: why the planners entered the row, in their own words.
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
        """Return the row as one line in the words of the sheet."""
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
    """The rows of one sheet, in the order of the file."""

    rows: tuple[PlanRow, ...]


@dataclass(frozen=True, slots=True)
class AcceptedPlan:
    """A plan that the table has accepted.

    :param version: grows by one with each accepted plan.
    :param digest: SHA-256 of the sheet, in hexadecimal digits.
    :param author: operator who submitted the sheet.
    :param accepted_at_s: seconds since the epoch at the accepting entry.
    :param sheet: text of the sheet.
    """

    version: int
    digest: str
    author: str
    accepted_at_s: float
    sheet: str
