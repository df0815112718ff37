"""Behaviour of the fakes that other tests rely on."""

from dataclasses import replace
from typing import Any

import pytest

from tamarackway_standins.links import Topology
from tamarackway_standins.table import Rows
from tamarackway_standins.targets import TargetApp, TargetSettings

_Operations = list[dict[str, Any]]


@pytest.mark.parametrize(
    ('operations', 'conflicts'),
    [
        ([{'key': 'a', 'value': 2, 'expect': 1}], []),
        ([{'key': 'a', 'value': 2, 'expect': 0}], ['a']),
        ([{'key': 'b', 'value': 2, 'expect': 0}], []),
        ([{'key': 'b', 'value': 2, 'expect': 7}], ['b']),
        ([{'key': 'a', 'value': None}], []),
        (
            [
                {'key': 'b', 'value': 2},
                {'key': 'a', 'value': 2, 'expect': 0},
            ],
            ['a'],
        ),
    ],
)
def test_transactions_are_atomic(
    operations: _Operations,
    conflicts: list[str],
) -> None:
    rows = Rows()
    rows.transact([{'key': 'a', 'value': 1}])
    found = rows.transact(operations)
    assert [conflict['key'] for conflict in found] == conflicts
    for operation in operations:
        row = rows.read(operation['key'])
        value = row['value'] if row else None
        if conflicts:
            assert value != operation['value']
        else:
            assert value == operation['value']


@pytest.mark.parametrize(('age_s', 'value'), [(0, 2), (60, None)])
def test_table_is_restored_from_a_copy(age_s: float, value: int | None) -> None:
    rows = Rows()
    for number in (1, 2):
        rows.transact([{'key': 'a', 'value': number}])
    rows.restore(age_s)
    found = rows.read('a')
    assert (found['value'] if found else None) == value
    assert (rows.history, rows.revision) == (2, value or 0)


@pytest.mark.parametrize(
    ('client', 'server', 'delay_s', 'is_partitioned'),
    [
        ('North/a', 'North/a', 0, False),
        ('North/a', 'North/b', 0.001, False),
        ('North/a', 'South/a', 0.05, True),
        ('South/b', 'North/b', 0.05, True),
        ('', 'South/a', 0, False),
    ],
)
def test_links_apply_delays_and_partitions_by_place(
    client: str,
    server: str,
    delay_s: float,
    is_partitioned: bool,
) -> None:
    topology = Topology(
        domain_ms=1,
        region_ms=50,
        cuts=[('North', 'South')],
    )
    assert topology.delay_s(client, server) == pytest.approx(delay_s)
    assert topology.is_partitioned(client, server) is is_partitioned


def test_reported_load_can_lag_or_be_overridden() -> None:
    settings = TargetSettings('t', 's', 3, 9, 0.01, 0, 1, '')
    app = TargetApp(settings)
    app._change_load(1)  # ruff: ignore[private-member-access]
    assert app._health()['load'] == 1  # ruff: ignore[private-member-access]
    app.faults = replace(app.faults, report_lag_s=60)
    assert app._health()['load'] == 0  # ruff: ignore[private-member-access]
    app.faults = replace(app.faults, reported_load=7)
    assert app._health()['load'] == 7  # ruff: ignore[private-member-access]
