"""Tests of batched claim writes."""

import functools

import anyio
import pytest
from tamarackway_core.once import ClaimRow, ClaimState

from tamarackway_entry.once import ClaimBatcher
from tamarackway_entry.once._batcher import (
    Failed,
    StoredClaim,
    WriteResult,
    Written,
)
from tamarackway_entry.tests.fakes import FakeTable

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


def _row(token: str) -> ClaimRow:
    return ClaimRow(token, 'e1', 'i1', 'd', 1, ClaimState.CLAIMED)


async def _write_all(
    table: FakeTable,
    keys: list[str],
) -> dict[str, WriteResult]:
    batcher = ClaimBatcher(table.as_service(), spacing_s=0.005)
    results: dict[str, WriteResult] = {}

    async def write(key: str) -> None:
        results[key] = await batcher.write(key, _row(f'token-{key}'), 0)

    async with anyio.create_task_group() as group:
        group.start_soon(batcher.run)
        async with anyio.create_task_group() as writers:
            for key in keys:
                writers.start_soon(functools.partial(write, key))
        group.cancel_scope.cancel()
    return results


async def test_pending_claims_share_a_transaction() -> None:
    table = FakeTable()
    table.delay_s = 0.01
    results = await _write_all(table, [f'k{n}' for n in range(40)])
    assert all(isinstance(result, Written) for result in results.values())
    assert table.transactions <= 3


async def test_a_conflict_fails_only_its_own_claim() -> None:
    table = FakeTable()
    await _write_all(table, ['k1'])
    results = await _write_all(table, ['k0', 'k1', 'k2'])
    stored = results['k1']
    assert isinstance(stored, StoredClaim)
    assert stored.row == _row('token-k1')
    assert isinstance(results['k0'], Written)
    assert isinstance(results['k2'], Written)


@pytest.mark.parametrize(
    ('refuse', 'lose_next', 'in_doubt'),
    [(True, 0, False), (False, 1, True)],
)
async def test_failures_tell_whether_the_claim_is_in_doubt(
    refuse: bool,
    lose_next: int,
    in_doubt: bool,
) -> None:
    table = FakeTable()
    table.refuse = refuse
    table.lose_next = lose_next
    results = await _write_all(table, ['k1'])
    failed = results['k1']
    assert isinstance(failed, Failed)
    assert failed.in_doubt is in_doubt


async def test_an_unavailable_table_fails_writes_immediately() -> None:
    table = FakeTable()
    table.is_up = False
    results = await _write_all(table, ['k1'])
    assert isinstance(results['k1'], Failed)
    assert table.transactions == 0
