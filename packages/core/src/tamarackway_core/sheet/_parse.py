"""Parsing of sheets; all errors are reported at once."""

import csv
import hashlib
import io
import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from tamarackway_core.errors import SheetError, SheetFault
from tamarackway_core.sheet._columns import KIND_RULES, KindRule
from tamarackway_core.sheet._consistency import find_inconsistencies
from tamarackway_core.sheet._model import COLUMNS, Plan, PlanRow, RowKind

MAX_SHEET_BYTES: Final = 4 * 1024 * 1024
_SUBJECTS: Final = ('service', 'region', 'to_region', 'target')
_FIRST_LINE: Final = 1
_Cells = Mapping[str, str]


def digest_sheet(sheet: str) -> str:
    """Return the hexadecimal SHA-256 digest of a sheet."""
    return hashlib.sha256(sheet.encode()).hexdigest()


def parse_sheet(sheet: str) -> Plan:
    """Parse a sheet into a plan.

    :param sheet: text of the CSV file, including the header line.
    :raises SheetError: with all errors of the sheet, if there are any.
    """
    if len(sheet) > MAX_SHEET_BYTES:
        raise SheetError([
            SheetFault(
                _FIRST_LINE,
                '',
                f'the sheet is longer than {MAX_SHEET_BYTES} bytes',
                'split it or remove rows',
            ),
        ])
    reader = csv.reader(io.StringIO(sheet.removeprefix('\ufeff'), newline=''))
    try:
        numbered = [(reader.line_num, cells) for cells in reader]
    except csv.Error as error:
        raise SheetError([
            SheetFault(
                reader.line_num,
                '',
                f'the line is not valid CSV: {error}',
                'export the sheet again as comma-separated values',
            ),
        ]) from error
    return _parse_lines(numbered)


def _parse_lines(numbered: list[tuple[int, list[str]]]) -> Plan:
    header = [cell.strip() for cell in numbered[0][1]] if numbered else []
    if header != list(COLUMNS):
        raise SheetError([
            SheetFault(
                _FIRST_LINE,
                '',
                'the header does not contain the expected columns',
                f'make the first line {",".join(COLUMNS)}',
            ),
        ])
    faults: list[SheetFault] = []
    rows: list[tuple[int, PlanRow]] = []
    for line, cells in numbered[1:]:
        if any(cell.strip() for cell in cells):
            _parse_line(line, cells, rows, faults)
    faults.extend(find_inconsistencies(rows))
    if faults:
        raise SheetError(sorted(faults, key=lambda fault: fault.line))
    return Plan(tuple(row for _, row in rows))


def _parse_line(
    line: int,
    cells: list[str],
    rows: list[tuple[int, PlanRow]],
    faults: list[SheetFault],
) -> None:
    if len(cells) != len(COLUMNS):
        problem = f'the row has {len(cells)} cells'
        remedy = f'give it {len(COLUMNS)} cells, empty ones included'
        faults.append(SheetFault(line, '', problem, remedy))
        return
    values = {
        column: cell.strip()
        for column, cell in zip(COLUMNS, cells, strict=True)
    }
    errors = list(_check_cells(line, values))
    faults.extend(errors)
    if not errors:
        rows.append((line, _build_row(values)))


def _build_row(cells: _Cells) -> PlanRow:
    return PlanRow(
        row=cells['row'],
        kind=RowKind(cells['kind']),
        service=cells['service'],
        region=cells['region'],
        to_region=cells['to_region'],
        target=cells['target'],
        amount=float(cells['amount'] or 0),
        unit=cells['unit'],
        reason=cells['reason'],
    )


def _check_cells(line: int, cells: _Cells) -> Iterator[SheetFault]:
    kind = cells['kind']
    if kind not in set(RowKind):
        yield SheetFault(
            line,
            'kind',
            f'{kind!r} is not a kind of row',
            f'use one of {", ".join(RowKind)}',
        )
        return
    rule = KIND_RULES[RowKind(kind)]
    yield from _check_required(line, cells, ('row', 'reason', *rule.required))
    yield from _check_disallowed(line, cells, rule)
    yield from _check_amount(line, cells, rule)


def _check_required(
    line: int,
    cells: _Cells,
    columns: Iterable[str],
) -> Iterator[SheetFault]:
    for column in columns:
        if not cells[column]:
            yield SheetFault(
                line,
                column,
                f'a {cells["kind"]} row needs a {column}',
                'fill the cell',
            )


def _check_disallowed(
    line: int,
    cells: _Cells,
    rule: KindRule,
) -> Iterator[SheetFault]:
    for column in _SUBJECTS:
        allowed = column in rule.required or column in rule.optional
        if cells[column] and not allowed:
            yield SheetFault(
                line,
                column,
                f'a {cells["kind"]} row has no {column}',
                'empty the cell',
            )


def _check_amount(
    line: int,
    cells: _Cells,
    rule: KindRule,
) -> Iterator[SheetFault]:
    if cells['unit'] != rule.unit:
        expected = repr(rule.unit) if rule.unit else 'an empty cell'
        yield SheetFault(
            line,
            'unit',
            f'{cells["unit"]!r} is not the unit of a {cells["kind"]} row',
            f'use {expected}',
        )
    if not rule.unit:
        if cells['amount']:
            problem = f'a {cells["kind"]} row has no amount'
            yield SheetFault(line, 'amount', problem, 'empty the cell')
        return
    amount = _parse_amount(cells['amount'])
    if not rule.low <= amount <= rule.high:
        yield SheetFault(
            line,
            'amount',
            f'{cells["amount"]!r} is not an amount of a {cells["kind"]} row',
            f'enter a number from {rule.low:g} to {rule.high:g}',
        )


def _parse_amount(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan
