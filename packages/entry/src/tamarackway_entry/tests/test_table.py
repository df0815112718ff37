"""Tests of the table client while the table is restored from a copy."""

import json
import math
from typing import Any, cast

import pytest

from tamarackway_entry.http import ConnectionPool, HttpRequest, HttpResponse
from tamarackway_entry.platform import (
    Committed,
    Operation,
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)
from tamarackway_entry.telemetry import Metrics
from tamarackway_entry.tests.fakes import FakeClock

pytestmark = pytest.mark.anyio
WRITE = Operation('k', 1, 0)


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class FakePool:
    """Answers each call with the next document."""

    def __init__(self, *documents: dict[str, Any]) -> None:
        self.documents = list(documents)

    async def send(self, _request: HttpRequest) -> HttpResponse:
        document = self.documents.pop(0)
        return HttpResponse(200, {}, json.dumps(document).encode())


def build_table(*documents: dict[str, Any]) -> TableService:
    pool = cast('ConnectionPool', FakePool(*documents))
    return TableService(pool, 1, FakeClock(), Metrics())


def read_in(history: int) -> dict[str, Any]:
    return {'history': history, 'rows': [None]}


@pytest.mark.parametrize(
    ('documents', 'history', 'was_restored'),
    [
        ([{'rows': [None]}], 1, False),
        ([read_in(1), read_in(1)], 1, False),
        ([read_in(1), read_in(2)], 2, True),
        ([read_in(3)], 3, True),
    ],
)
async def test_history_of_the_table_is_known(
    documents: list[dict[str, Any]], history: int, *, was_restored: bool
) -> None:
    table = build_table(*documents)
    for _ in documents:
        await table.read(['k'])
    assert table.history == history
    assert math.isfinite(table.history_began_s) is was_restored


# Guards against writes on condition of a revision that now belongs to another
# row, and against late responses that are taken for current ones.
async def test_writes_and_responses_belong_to_one_history() -> None:
    written = {'history': 2, 'revision': 5}
    table = build_table(written, written, read_in(1), written)
    with pytest.raises(StoreInDoubtError):
        await table.transact([WRITE])
    assert await table.transact([WRITE]) == Committed(5)
    with pytest.raises(StoreUnavailableError):
        await table.read(['k'])
    with pytest.raises(StoreUnavailableError):
        await table.transact([Operation('k', 1, 3, history=1)])
    assert await table.transact([Operation('k', 1, 3, history=2)])
