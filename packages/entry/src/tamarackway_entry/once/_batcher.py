"""Groups the pending claim writes of an instance into transactions."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import anyio
from tamarackway_core.once import ClaimRow, may_precede

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
_MAX_IN_FLIGHT: Final = 4
_MAX_PENDING: Final = 2000


@dataclass(frozen=True, slots=True)
class Written:
    """The row was written.

    :param revision: new revision of the row.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class StoredClaim:
    """The claim row that the table holds, read or reported as a conflict.

    :param revision: revision of the row; 0 if it is absent.
    :param row: the row, or None if it is absent.
    """

    revision: int
    row: ClaimRow | None


@dataclass(frozen=True, slots=True)
class Failed:
    """The write was not confirmed.

    :param in_doubt: whether it may have been applied or may still be.
    :param problem: description of the failure.
    """

    in_doubt: bool
    problem: str


WriteResult = Written | StoredClaim | Failed


class _PendingWrite:
    def __init__(self, operation: Operation) -> None:
        self.operation = operation
        self.done = anyio.Event()
        self.result: WriteResult = Failed(in_doubt=False, problem='not sent')

    def complete(self, result: WriteResult) -> None:
        self.result = result
        self.done.set()


class ClaimBatcher:
    """Writes claim rows in batches.

    :param table: client of the table service.
    :param spacing_s: time in seconds from the start of one transaction to the
        start of the next; the next one starts sooner if a transaction
        completes in the meantime.
    :param linger_s: time in seconds from the arrival of a write to the start
        of its transaction, to collect further writes.

    Writes that arrive before the next transaction share it. Several
    transactions may be in flight at once, so that with a high-latency table
    a write need not wait for the previous transaction to complete.
    """

    def __init__(
        self,
        table: TableService,
        spacing_s: float = 0,
        linger_s: float = 0,
    ) -> None:
        """Start without pending writes."""
        self._spacing_s = spacing_s
        self._linger_s = linger_s
        self._in_flight = anyio.Semaphore(_MAX_IN_FLIGHT)
        self._table = table
        self._pending: list[_PendingWrite] = []
        self._arrived = anyio.Event()
        self._completed = anyio.Event()

    @property
    def history(self) -> int:
        """Newest known history of the table."""
        return self._table.history

    def may_miss(self, row_key: str) -> bool:
        """Return whether a restore of the table may have lost a claim.

        :param row_key: key of the row without its prefix.
        """
        return may_precede(row_key, self._table.history_began_s)

    async def run(self) -> None:
        """Send transactions until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._arrived.wait()
                await anyio.sleep(self._linger_s)
                await self._in_flight.acquire()
                self._completed = anyio.Event()
                group.start_soon(self._write_and_release, self._take_batch())
                with anyio.move_on_after(self._spacing_s):
                    await self._completed.wait()

    async def write(
        self,
        row_key: str,
        row: ClaimRow,
        expect: int,
    ) -> WriteResult:
        """Write a claim row if it has the expected revision.

        :param row_key: key of the row without its prefix.
        :param row: the new row.
        :param expect: revision that the row must have; 0 if it must be absent.
        """
        if not self._table.is_up:
            return Failed(in_doubt=False, problem='the table is down')
        if len(self._pending) >= _MAX_PENDING:
            return Failed(
                in_doubt=False, problem='too many claim writes are pending'
            )
        key = f'{KEY_PREFIX}{row_key}'
        operation = Operation(key, row_to_value(row), expect, self.history)
        pending = _PendingWrite(operation)
        self._pending.append(pending)
        self._arrived.set()
        await pending.done.wait()
        return pending.result

    async def read(self, row_key: str) -> StoredClaim | None:
        """Return the row of a key, or None if there is none.

        :param row_key: key of the row without its prefix.
        :raises StoreUnavailableError: if the table does not answer.

        The circuit breaker is bypassed: the row is read after a write in
        doubt, whose failure may have opened it.
        """
        rows = await self._table.read(
            [f'{KEY_PREFIX}{row_key}'],
            bypass_breaker=True,
        )
        found = rows[0]
        return None if found.value is None else _to_stored_claim(found)

    def _take_batch(self) -> list[_PendingWrite]:
        """Remove and return the next batch, with at most one write per row."""
        batch: dict[str, _PendingWrite] = {}
        remaining: list[_PendingWrite] = []
        for pending in self._pending:
            key = pending.operation.key
            if key in batch or len(batch) >= _MAX_BATCH:
                remaining.append(pending)
            else:
                batch[key] = pending
        self._pending = remaining
        if not remaining:
            self._arrived = anyio.Event()
        return list(batch.values())

    async def _write_and_release(self, batch: list[_PendingWrite]) -> None:
        try:
            await self._write(batch)
        finally:
            self._in_flight.release()
            self._completed.set()

    async def _write(self, batch: list[_PendingWrite]) -> None:
        """Write a batch, retrying without the writes that conflict.

        A single conflict rejects the whole transaction.
        """
        while batch:
            operations = [pending.operation for pending in batch]
            try:
                reply = await self._table.transact(operations)
            except StoreUnavailableError as error:
                _complete_all(
                    batch, Failed(in_doubt=False, problem=error.problem)
                )
                return
            except StoreInDoubtError as error:
                _complete_all(
                    batch, Failed(in_doubt=True, problem=error.problem)
                )
                return
            if isinstance(reply, Committed):
                _complete_all(batch, Written(reply.revision))
                return
            batch = _resolve_conflicts(batch, reply)


def _resolve_conflicts(
    batch: list[_PendingWrite],
    conflicts: Iterable[Conflict],
) -> list[_PendingWrite]:
    """Complete the writes that conflict, and return the others."""
    stored = {conflict.index: conflict.current for conflict in conflicts}
    for index, row in stored.items():
        batch[index].complete(_to_stored_claim(row))
    return [
        pending for index, pending in enumerate(batch) if index not in stored
    ]


def _to_stored_claim(row: Row) -> StoredClaim:
    if row.value is None:
        return StoredClaim(0, None)
    return StoredClaim(row.revision, value_to_row(row.value))


def _complete_all(batch: Iterable[_PendingWrite], result: WriteResult) -> None:
    for pending in batch:
        pending.complete(result)
