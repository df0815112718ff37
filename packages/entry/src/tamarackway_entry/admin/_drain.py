"""Drains a target by a leave row in the sheet."""

import csv
import io

from tamarackway_core.sheet import COLUMNS, RowKind, parse_sheet


def add_leave_row(sheet: str, target: str, reason: str) -> str:
    """Return a sheet with a leave row for a target.

    :param sheet: text of the sheet in force.
    :param target: name of the target.
    :param reason: reason recorded in the row.

    The sheet is returned unchanged if it already has such a row.
    """
    plan = parse_sheet(sheet)
    leaving = {row.target for row in plan.rows if row.kind == RowKind.LEAVE}
    if target in leaving:
        return sheet
    cells = dict.fromkeys(COLUMNS, '')
    cells['row'] = f'drain-{target}'
    cells['kind'] = RowKind.LEAVE
    cells['target'] = target
    cells['reason'] = reason
    line = io.StringIO()
    csv.writer(line, lineterminator='\n').writerow(cells.values())
    separator = '' if sheet.endswith('\n') else '\n'
    return f'{sheet}{separator}{line.getvalue()}'
