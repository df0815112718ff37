"""Consistency checks across the rows of a sheet."""

from collections.abc import Iterator, Sequence
from typing import Final

from tamarackway_core.errors import SheetFault
from tamarackway_core.sheet._model import PlanRow, RowKind

_DECLARING_KINDS: Final = frozenset((RowKind.LOOKUP, RowKind.ONCE))
_NumberedRows = Sequence[tuple[int, PlanRow]]


def find_inconsistencies(rows: _NumberedRows) -> Iterator[SheetFault]:
    """Yield errors that concern more than one row.

    :param rows: line numbers and rows that are individually valid.
    """
    yield from _find_duplicate_labels(rows)
    yield from _find_duplicate_subjects(rows)
    yield from _find_undeclared_services(rows)
    yield from _find_unserved_services(rows)


def _find_duplicate_labels(rows: _NumberedRows) -> Iterator[SheetFault]:
    seen: dict[str, int] = {}
    for line, row in rows:
        first = seen.setdefault(row.row, line)
        if first != line:
            yield SheetFault(
                line,
                'row',
                f'label {row.row!r} is already used on line {first}',
                'give each row a unique label',
            )


def _find_duplicate_subjects(rows: _NumberedRows) -> Iterator[SheetFault]:
    seen: dict[tuple[str, ...], int] = {}
    for line, row in rows:
        kind = 'service' if row.kind in _DECLARING_KINDS else row.kind
        subject = (kind, row.service, row.region, row.to_region, row.target)
        first = seen.setdefault(subject, line)
        if first != line:
            yield SheetFault(
                line,
                '',
                f'line {first} already has a row for the same subject',
                'remove one of the two rows',
            )


def _find_undeclared_services(rows: _NumberedRows) -> Iterator[SheetFault]:
    declared = {row.service for _, row in rows if row.kind in _DECLARING_KINDS}
    for line, row in rows:
        if row.service and row.service not in declared:
            yield SheetFault(
                line,
                'service',
                f'service {row.service!r} is not declared',
                'add a lookup or once row for it',
            )


def _find_unserved_services(rows: _NumberedRows) -> Iterator[SheetFault]:
    served = {
        row.service
        for _, row in rows
        if row.kind == RowKind.SERVE and row.amount > 0
    }
    for line, row in rows:
        if row.kind in _DECLARING_KINDS and row.service not in served:
            yield SheetFault(
                line,
                'service',
                f'service {row.service!r} is not served from any region',
                'add a serve row with more than 0 percent',
            )
