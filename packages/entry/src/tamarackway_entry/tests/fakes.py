"""In-memory fakes of the clients and clocks of the daemon."""

import math
from collections.abc import Sequence
from typing import cast

import anyio
from tamarackway_core.sheet import AcceptedPlan

from tamarackway_entry.platform import (
    Committed,
    Conflict,
    ObjectStore,
    Operation,
    Row,
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)


class FakeClock:
    """A clock set by the test."""

    def __init__(self) -> None:
        self.at_s = 1000.0

    def now_s(self) -> float:
        return self.at_s

    def time_s(self) -> float:
        return self.at_s


class FakeTable:
    """An in-memory table that can lose or refuse answers."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.transactions = 0
        self.is_up = True
        self.lose_next = 0
        self.apply_lost = True
        self.refuse = False
        self.delay_s = 0.0
        self.history = 1
        self.history_began_s = -math.inf
        self.copies: list[tuple[int, dict[str, Row]]] = []

    def copy(self) -> None:
        self.copies.append((self.revision, dict(self.rows)))

    def restore(self, now_s: float = 0) -> None:
        """Return to the last copy."""
        self.revision, rows = self.copies.pop()
        self.rows = dict(rows)
        self.history += 1
        self.history_began_s = now_s

    def as_service(self) -> TableService:
        return cast('TableService', self)

    async def transact(
        self,
        operations: Sequence[Operation],
    ) -> Committed | list[Conflict]:
        self.transactions += 1
        await anyio.sleep(self.delay_s)
        if self.refuse:
            raise StoreUnavailableError('refused')
        if any(each.history not in {None, self.history} for each in operations):
            raise StoreUnavailableError('restored')
        lost = self.lose_next > 0
        self.lose_next = max(self.lose_next - 1, 0)
        if lost and not self.apply_lost:
            raise StoreInDoubtError('lost')
        conflicts = [
            Conflict(index, operation.key, self.rows.get(operation.key))
            for index, operation in enumerate(operations)
            if operation.expect is not None
            and self.find(operation.key).revision != operation.expect
        ]
        if not conflicts:
            self.revision += 1
            for operation in operations:
                row = Row(self.revision, operation.value)
                self.rows[operation.key] = row
        if lost:
            raise StoreInDoubtError('lost')
        return conflicts or Committed(self.revision)

    async def read(
        self,
        keys: Sequence[str],
        *,
        bypass_breaker: bool = False,
    ) -> list[Row]:
        if self.refuse and not bypass_breaker:
            raise StoreUnavailableError('refused')
        return [self.find(key) for key in keys]

    async def scan(self, prefix: str, limit: int) -> dict[str, Row]:
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return {key: self.rows[key] for key in keys[:limit]}

    def find(self, key: str) -> Row:
        return self.rows.get(key, Row(0))


class FakeObjects:
    """An in-memory object store."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def as_store(self) -> ObjectStore:
        return cast('ObjectStore', self)

    async def put(self, key: str, body: bytes) -> None:
        self.objects[key] = body

    async def get(self, key: str) -> bytes | None:
        return self.objects.get(key)


def build_plan(version: int, sheet: str) -> AcceptedPlan:
    return AcceptedPlan(version, f'digest-{version}', 'ann', 0, sheet)
