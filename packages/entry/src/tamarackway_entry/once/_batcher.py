"""Groups the claims that wait at one instance into shared transactions."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import anyio
from tamarackway_core.once import ClaimRow

from tamarackway_entry.once._rows import KEY_PREFIX, row_to_value, value_to_row
from tamarackway_entry.platform import (
    Committed,
    Conflict,
    Operation,
    Row,
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)

_MAX_BATCH: Final = 64
_MAX_UNDER_WAY: Final = 4
_MAX_WAITING: Final = 2000


@dataclass(frozen=True, slots=True)
class Written:
    """The row was written.

    :param revision: revision that it has now.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class Held:
    """Another row is in the way.

    :param revision: revision of that row.
    :param row: that row, or None if it has been removed.
    """

    revision: int
    row: ClaimRow | None


@dataclass(frozen=True, slots=True)
class Failed:
    """The row was not written by this call.

    :param in_doubt: whether it may still be written.
    :param problem: what went wrong.
    """

    in_doubt: bool
    problem: str


WriteResult = Written | Held | Failed


class _Waiting:
    def __init__(self, operation: Operation) -> None:
        self.operation = operation
        self.done = anyio.Event()
        self.result: WriteResult = Failed(in_doubt=False, problem='not sent')

    def end(self, result: WriteResult) -> None:
        self.result = result
        self.done.set()


class ClaimBatcher:
    """Writes claim rows.

    :param table: the table service.
    :param spacing_s: least time from one transaction to the next, unless
        the table answers sooner, in seconds.
    :param linger_s: time to wait for more writes before a transaction.

    The writes that arrive until the next transaction share it. A few
    transactions may be under way at once, so that a far table adds no more
    than the spacing to the wait for its answer.
    """

    def __init__(
        self,
        table: TableService,
        spacing_s: float = 0,
        linger_s: float = 0,
    ) -> None:
        """Start without waiting writes."""
        self._spacing_s = spacing_s
        self._linger_s = linger_s
        self._under_way = anyio.Semaphore(_MAX_UNDER_WAY)
        self._table = table
        self._waiting: list[_Waiting] = []
        self._arrived = anyio.Event()
        self._answered = anyio.Event()

    async def run(self) -> None:
        """Send transactions until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._arrived.wait()
                await anyio.sleep(self._linger_s)
                await self._under_way.acquire()
                self._answered = anyio.Event()
                group.start_soon(self._write_and_release, self._take_batch())
                with anyio.move_on_after(self._spacing_s):
                    await self._answered.wait()

    async def write(
        self,
        row_key: str,
        row: ClaimRow,
        expect: int,
    ) -> WriteResult:
        """Write a claim row if its revision is as expected.

        :param row_key: key of the row, without prefix.
        :param row: the new row.
        :param expect: revision that the row must have; 0 if absent.
        """
        if not self._table.is_up:
            return Failed(in_doubt=False, problem='the table is down')
        if len(self._waiting) >= _MAX_WAITING:
            return Failed(in_doubt=False, problem='too many claims wait')
        key = f'{KEY_PREFIX}{row_key}'
        waiting = _Waiting(Operation(key, row_to_value(row), expect))
        self._waiting.append(waiting)
        self._arrived.set()
        await waiting.done.wait()
        return waiting.result

    async def read(self, row_key: str) -> Held | None:
        """Return the row of a key, or None if there is none.

        :param row_key: key of the row, without prefix.
        :raises StoreUnavailableError: if the table does not answer.
        """
        rows = await self._table.read(
            [f'{KEY_PREFIX}{row_key}'],
            bypass_breaker=True,
        )
        found = rows[0]
        return None if found.value is None else _to_held(found)

    def _take_batch(self) -> list[_Waiting]:
        batch: dict[str, _Waiting] = {}
        left: list[_Waiting] = []
        for waiting in self._waiting:
            key = waiting.operation.key
            if key in batch or len(batch) >= _MAX_BATCH:
                left.append(waiting)
            else:
                batch[key] = waiting
        self._waiting = left
        if not left:
            self._arrived = anyio.Event()
        return list(batch.values())

    async def _write_and_release(self, batch: list[_Waiting]) -> None:
        try:
            await self._write(batch)
        finally:
            self._under_way.release()
            self._answered.set()

    async def _write(self, batch: list[_Waiting]) -> None:
        while batch:
            operations = [waiting.operation for waiting in batch]
            try:
                reply = await self._table.transact(operations)
            except StoreUnavailableError as error:
                _end_all(batch, Failed(in_doubt=False, problem=error.problem))
                return
            except StoreInDoubtError as error:
                _end_all(batch, Failed(in_doubt=True, problem=error.problem))
                return
            if isinstance(reply, Committed):
                _end_all(batch, Written(reply.revision))
                return
            batch = _without_conflicts(batch, reply)


def _without_conflicts(
    batch: list[_Waiting],
    conflicts: Iterable[Conflict],
) -> list[_Waiting]:
    held = {conflict.index: conflict.current for conflict in conflicts}
    for index, row in held.items():
        batch[index].end(_to_held(row))
    return [waiting for index, waiting in enumerate(batch) if index not in held]


def _to_held(row: Row) -> Held:
    if row.value is None:
        return Held(0, None)
    return Held(row.revision, value_to_row(row.value))


def _end_all(batch: Iterable[_Waiting], result: WriteResult) -> None:
    for waiting in batch:
        waiting.end(result)
