"""Checks that concern several rows of a sheet."""

from collections.abc import Iterator, Sequence
from typing import Final

from tamarackway_core.errors import SheetFault
from tamarackway_core.sheet._model import PlanRow, RowKind

_DECLARING: Final = frozenset((RowKind.LOOKUP, RowKind.ONCE))
_Numbered = Sequence[tuple[int, PlanRow]]


def find_inconsistencies(rows: _Numbered) -> Iterator[SheetFault]:
    """Yield the faults that show only when rows are compared.

    :param rows: line numbers and rows that are correct one by one.
    """
    yield from _find_repeated_labels(rows)
    yield from _find_repeated_subjects(rows)
    yield from _find_undeclared_services(rows)
    yield from _find_unserved_services(rows)


def _find_repeated_labels(rows: _Numbered) -> Iterator[SheetFault]:
    seen: dict[str, int] = {}
    for line, row in rows:
        first = seen.setdefault(row.row, line)
        if first != line:
            yield SheetFault(
                line,
                'row',
                f'label {row.row!r} already stands on line {first}',
                'give each row a label of its own',
            )


def _find_repeated_subjects(rows: _Numbered) -> Iterator[SheetFault]:
    seen: dict[tuple[str, ...], int] = {}
    for line, row in rows:
        kind = 'service' if row.kind in _DECLARING else row.kind
        subject = (kind, row.service, row.region, row.to_region, row.target)
        first = seen.setdefault(subject, line)
        if first != line:
            yield SheetFault(
                line,
                '',
                f'line {first} already rules the same thing',
                'remove one of the two rows',
            )


def _find_undeclared_services(rows: _Numbered) -> Iterator[SheetFault]:
    declared = {row.service for _, row in rows if row.kind in _DECLARING}
    for line, row in rows:
        if row.service and row.service not in declared:
            yield SheetFault(
                line,
                'service',
                f'service {row.service!r} is not declared',
                'add a lookup or once row for it',
            )


def _find_unserved_services(rows: _Numbered) -> Iterator[SheetFault]:
    served = {
        row.service
        for _, row in rows
        if row.kind == RowKind.SERVE and row.amount > 0
    }
    for line, row in rows:
        if row.kind in _DECLARING and row.service not in served:
            yield SheetFault(
                line,
                'service',
                f'service {row.service!r} is served from no region',
                'add a serve row with more than 0 percent',
            )
