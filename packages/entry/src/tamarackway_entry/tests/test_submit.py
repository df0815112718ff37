"""Tests of sheet submission."""

import pytest
from tamarackway_core.errors import ConflictError
from tamarackway_core.sheet import COLUMNS

from tamarackway_entry.plans import CurrentPlan, PlanSubmitter
from tamarackway_entry.platform import StoreUnavailableError
from tamarackway_entry.tests.fakes import FakeClock, FakeObjects, FakeTable

pytestmark = pytest.mark.anyio
ROWS = (
    'l1,lookup,status,,,,500,ms,why',
    's1,serve,status,North,,,60,percent,why',
)
SHEET = '\n'.join((','.join(COLUMNS), *ROWS, ''))
OTHER_SHEET = SHEET.replace('60', '70')


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def table() -> FakeTable:
    return FakeTable()


@pytest.fixture
def submitter(table: FakeTable) -> PlanSubmitter:
    objects = FakeObjects()
    return PlanSubmitter(table.as_service(), objects.as_store(), FakeClock())


async def test_versions_increase(submitter: PlanSubmitter) -> None:
    first = await submitter.submit(SHEET, 'ann', None)
    second = await submitter.submit(OTHER_SHEET, 'bob', 1)
    assert (first.plan.version, second.plan.version) == (1, 2)


async def test_a_stale_base_is_a_conflict(submitter: PlanSubmitter) -> None:
    await submitter.submit(SHEET, 'ann', None)
    await submitter.submit(SHEET, 'ann', 1)
    with pytest.raises(ConflictError) as caught:
        await submitter.submit(OTHER_SHEET, 'bob', 1)
    assert caught.value.rows == ('s1',)


async def test_a_commit_whose_answer_was_lost_is_found_accepted(
    submitter: PlanSubmitter,
    table: FakeTable,
) -> None:
    await submitter.submit(SHEET, 'ann', None)
    table.lose_next = 1
    accepted = await submitter.submit(OTHER_SHEET, 'bob', 1)
    assert accepted.plan.version == 2


async def test_a_lost_commit_is_fenced_against_delayed_execution(
    submitter: PlanSubmitter,
    table: FakeTable,
) -> None:
    await submitter.submit(SHEET, 'ann', None)
    before = table.find('plan/pointer').revision
    table.lose_next = 1
    table.apply_lost = False
    with pytest.raises(StoreUnavailableError):
        await submitter.submit(OTHER_SHEET, 'bob', 1)
    assert table.find('plan/pointer').revision > before
    assert table.find('plan/pointer').value['version'] == 1


# Guards against a plan that is accepted after the table was restored, but not
# put in force, since its version was given out before.
async def test_plan_after_a_restore_is_ordered_after_all_earlier_ones(
    submitter: PlanSubmitter, table: FakeTable
) -> None:
    current = CurrentPlan()
    current.adopt(await submitter.submit(SHEET, 'ann', None))
    table.copy()
    for sheet in (OTHER_SHEET, SHEET):
        assert current.adopt(await submitter.submit(sheet, 'ann', None))
    table.restore()
    accepted = await submitter.submit(OTHER_SHEET, 'bob', 1)
    assert accepted.plan.version == 2
    assert current.adopt(accepted)


# Guards against an accepted plan that new instances never learn, since the
# table was restored from a copy without it.
@pytest.mark.parametrize('is_overtaken', [False, True])
async def test_lost_plan_is_committed_again(
    submitter: PlanSubmitter, table: FakeTable, *, is_overtaken: bool
) -> None:
    await submitter.submit(SHEET, 'ann', None)
    table.copy()
    lost = await submitter.submit(OTHER_SHEET, 'ann', None)
    table.restore()
    if is_overtaken:
        await submitter.submit(SHEET, 'bob', None)
    restored = await submitter.submit_again(lost)
    pointer = table.find('plan/pointer').value
    if is_overtaken:
        assert restored is None
        assert pointer['author'] == 'bob'
        return
    assert restored is not None
    assert restored.plan.order > lost.plan.order
    assert restored.plan.sheet == OTHER_SHEET
    assert (pointer['version'], pointer['history']) == (2, 2)
    assert await submitter.submit_again(restored) is None
