"""Tests of the deletion of expired claims."""

from typing import cast

import pytest
from tamarackway_core.once import KEY_LIFETIME_S, claim_day

from tamarackway_entry.once import SweepService
from tamarackway_entry.peers import PeerService
from tamarackway_entry.platform import Row
from tamarackway_entry.tests.fakes import FakeClock, FakeTable

pytestmark = pytest.mark.anyio
DAY_S = 86_400


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


async def test_only_claims_past_the_retention_margin_are_deleted() -> None:
    clock = FakeClock()
    clock.at_s = 100 * DAY_S
    table = FakeTable()
    lifetime_days = int(KEY_LIFETIME_S) // DAY_S
    keys = [
        f'claims/{claim_day(clock.at_s - age * DAY_S)}/report/k{age}'
        for age in (0, lifetime_days, lifetime_days + 2, lifetime_days + 3)
    ]
    table.rows = {key: Row(1, {'state': 'ran'}) for key in keys}
    peers = cast('PeerService', None)
    sweep = SweepService(table.as_service(), peers, 'e1', clock)
    assert await sweep.sweep() == 1
    remaining = [key for key in keys if table.find(key).value is not None]
    assert remaining == keys[:3]
