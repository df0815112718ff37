"""Tests of parsing, validating and comparing sheets."""

import pytest

from tamarackway_core.errors import SheetError
from tamarackway_core.sheet import (
    COLUMNS,
    PlanRules,
    diff_plans,
    parse_sheet,
)

HEADER = ','.join(COLUMNS)
VALID_ROWS = (
    'l1,lookup,status,,,,500,ms,why',
    's1,serve,status,North,,,60,percent,why',
    's2,serve,status,South,,,40,percent,why',
    'm1,move,status,,,,10,percent/min,why',
    'c1,capacity,,North,,,100,requests/s,why',
    'k1,link,,North,South,,4000,Mbit/s,why',
    'x1,leave,,,,t1,,,why',
)


def _sheet(*rows: str) -> str:
    return '\n'.join((HEADER, *rows, ''))


def test_rows_of_a_valid_sheet_are_indexed() -> None:
    rules = PlanRules(parse_sheet(_sheet(*VALID_ROWS)))
    rule = rules.find_service('status')
    assert rule is not None
    assert rule.deadline_s == pytest.approx(0.5)
    assert [share.share for share in rule.shares] == [0.6, 0.4]
    assert rules.find_leaving('t1') is not None
    assert [row.row for row in rules.list_capacities('North', 'status')] == [
        'c1',
    ]


@pytest.mark.parametrize(
    ('row', 'column', 'text'),
    [
        (
            'z,lookup,other,,,,500,ms,why',
            'service',
            'not served from any region',
        ),
        ('z,steer,status,,,,500,ms,why', 'kind', 'is not a kind'),
        ('z,serve,,North,,,5,percent,why', 'service', 'needs a service'),
        ('z,serve,nowhere,North,,,5,percent,why', 'service', 'not declared'),
        ('z,serve,status,East,,,500,percent,why', 'amount', 'from 0 to 100'),
        ('z,serve,status,East,,,nan,percent,why', 'amount', 'from 0 to 100'),
        ('z,serve,status,East,,,x,percent,why', 'amount', 'from 0 to 100'),
        ('z,serve,status,East,,,5,kg,why', 'unit', "use 'percent'"),
        ('z,serve,status,East,,t2,5,percent,why', 'target', 'empty the cell'),
        ('z,leave,,,,t2,5,,why', 'amount', 'empty the cell'),
        ('z,leave,,,,t2,,,', 'reason', 'fill the cell'),
        ('l1,leave,,,,t2,,,why', 'row', 'already used on line 2'),
        ('z,leave,,,,t1,,,why', '', 'already has a row for the same'),
        ('z,leave,t2', '', 'has 3 cells'),
    ],
)
def test_errors_state_line_column_and_remedy(
    row: str,
    column: str,
    text: str,
) -> None:
    with pytest.raises(SheetError) as caught:
        parse_sheet(_sheet(*VALID_ROWS, row))
    (fault,) = caught.value.faults
    assert fault.line == len(VALID_ROWS) + 2
    assert fault.column == column
    assert text in str(fault)


@pytest.mark.parametrize(
    'sheet',
    ['', 'row,kind\n', '"', f'{HEADER}\n"open', 'x' * 5_000_000],
)
def test_invalid_csv_is_rejected(sheet: str) -> None:
    with pytest.raises(SheetError) as caught:
        parse_sheet(sheet)
    assert caught.value.faults[0].line >= 0


def test_all_errors_are_reported_at_once() -> None:
    with pytest.raises(SheetError) as caught:
        parse_sheet(_sheet('a,steer,,,,,,,why', 'b,leave,,,,,,,why'))
    assert [fault.line for fault in caught.value.faults] == [2, 3]


def test_diff_contains_changed_removed_and_new_rows() -> None:
    before = parse_sheet(_sheet(*VALID_ROWS))
    changed = VALID_ROWS[1].replace('60', '70')
    after = parse_sheet(_sheet(VALID_ROWS[0], changed, 'n1,leave,,,,t9,,,why'))
    rows = {change.row for change in diff_plans(before, after)}
    assert rows == {'s1', 's2', 'm1', 'c1', 'k1', 'x1', 'n1'}
