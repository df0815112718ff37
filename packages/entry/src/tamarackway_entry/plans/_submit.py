"""Acceptance of a sheet by compare-and-set."""

import enum
import uuid
from dataclasses import asdict
from typing import Final

import anyio
from tamarackway_core.errors import ConflictError, TamarackwayError
from tamarackway_core.routing import shares_in_force
from tamarackway_core.sheet import (
    AcceptedPlan,
    Plan,
    PlanRules,
    diff_plans,
    digest_sheet,
    parse_sheet,
)
from tamarackway_core.wire import PlanPush

from tamarackway_entry.kernel import Clock
from tamarackway_entry.plans._rows import (
    POINTER_KEY,
    PlanPointer,
    history_key,
    object_key,
    parse_pointer,
)
from tamarackway_entry.platform import (
    Committed,
    ObjectStore,
    Operation,
    Row,
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)

_SETTLE_S: Final = 10.0
_SETTLE_INTERVAL_S: Final = 0.2


class _Settled(enum.Enum):
    """What became of a commit whose answer was lost."""

    OPEN = enum.auto()
    ACCEPTED = enum.auto()
    OVERTAKEN = enum.auto()
    NOT_WRITTEN = enum.auto()


class PlanInDoubtError(TamarackwayError):
    """The table took the answer with it; the sheet may be in force."""


class PlanSubmitter:
    """Accepts sheets.

    :param table: the table service.
    :param objects: the object store.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Remember the stores."""
        self._table = table
        self._objects = objects
        self._clock = clock

    async def submit(
        self,
        sheet: str,
        author: str,
        base_version: int | None,
    ) -> PlanPush:
        """Accept a sheet and return it as the new plan.

        :param sheet: text of the CSV file.
        :param author: operator who submits it.
        :param base_version: version that the operator started from, or None
            to replace whatever is in force.
        :raises SheetError: if the sheet has faults.
        :raises ConflictError: if another plan was accepted meanwhile.
        :raises StoreUnavailableError: if the sheet was not accepted.
        :raises PlanInDoubtError: if it cannot be known whether it was.
        """
        plan = parse_sheet(sheet)
        row = (await self._table.read([POINTER_KEY]))[0]
        current = parse_pointer(row.value)
        version = current.version if current else 0
        if base_version not in {None, version}:
            raise await self._conflict(current, plan)
        digest = digest_sheet(sheet)
        await self._objects.put(object_key(digest), sheet.encode())
        pointer = PlanPointer(
            version + 1,
            digest,
            author,
            self._clock.time_s(),
            str(uuid.uuid4()),
            await self._starts(current),
        )
        if not await self._commit(pointer, row.revision):
            newer = (await self._table.read([POINTER_KEY]))[0]
            raise await self._conflict(parse_pointer(newer.value), plan)
        accepted = AcceptedPlan(
            pointer.version,
            digest,
            author,
            pointer.accepted_at_s,
            sheet,
        )
        return PlanPush(accepted, pointer.starts)

    async def fetch_sheet(self, digest: str) -> str:
        """Return a sheet by its digest.

        :param digest: SHA-256 of the sheet.
        :raises StoreUnavailableError: if the store does not give it.
        """
        body = await self._objects.get(object_key(digest))
        if body is None:
            raise StoreUnavailableError(f'sheet {digest} is not in the store')
        return body.decode()

    async def _commit(self, pointer: PlanPointer, revision: int) -> bool:
        value = asdict(pointer)
        operations = [
            Operation(POINTER_KEY, value, revision),
            Operation(history_key(pointer.version), value, 0),
        ]
        try:
            committed = await self._table.transact(operations)
            return isinstance(committed, Committed)
        except StoreInDoubtError:
            return await self._settle(pointer)

    async def _settle(self, pointer: PlanPointer) -> bool:
        settled: _Settled = _Settled.OPEN
        with anyio.move_on_after(_SETTLE_S):
            while settled == _Settled.OPEN:
                await anyio.sleep(_SETTLE_INTERVAL_S)
                settled = await self._try_to_settle(pointer)
        if settled == _Settled.OPEN:
            raise PlanInDoubtError(
                f'the table did not tell whether {pointer.digest} was accepted',
                'look for this digest in tamarackctl plan history',
            )
        if settled == _Settled.NOT_WRITTEN:
            raise StoreUnavailableError('the sheet was not accepted')
        return settled == _Settled.ACCEPTED

    async def _try_to_settle(self, pointer: PlanPointer) -> _Settled:
        keys = [POINTER_KEY, history_key(pointer.version)]
        try:
            current, history = await self._table.read(keys)
            accepted = parse_pointer(history.value)
            if accepted is None:
                return await self._fence(current)
        except (StoreUnavailableError, StoreInDoubtError):
            return _Settled.OPEN
        if accepted.token == pointer.token:
            return _Settled.ACCEPTED
        return _Settled.OVERTAKEN

    async def _fence(self, current: Row) -> _Settled:
        """Rewrite the pointer, so that a delayed write of it must fail."""
        if current.value is None:
            return _Settled.OPEN
        write = Operation(POINTER_KEY, current.value, current.revision)
        committed = await self._table.transact([write])
        if isinstance(committed, Committed):
            return _Settled.NOT_WRITTEN
        return _Settled.OPEN

    async def _starts(self, current: PlanPointer | None) -> dict[str, float]:
        if current is None:
            return {}
        sheet = await self.fetch_sheet(current.digest)
        plan = AcceptedPlan(
            current.version,
            current.digest,
            current.author,
            current.accepted_at_s,
            sheet,
        )
        rules = PlanRules(parse_sheet(sheet))
        return shares_in_force(
            plan, rules, current.starts, self._clock.time_s()
        )

    async def _conflict(
        self,
        current: PlanPointer | None,
        plan: Plan,
    ) -> ConflictError:
        before = Plan(())
        author = 'nobody'
        version = 0
        if current is not None:
            before = parse_sheet(await self.fetch_sheet(current.digest))
            author = current.author
            version = current.version
        rows = [change.row for change in diff_plans(before, plan)]
        return ConflictError(
            f'version {version} by {author} was accepted first; '
            f'rows that differ: {", ".join(rows) or "none"}',
            'compare with tamarackctl plan diff and submit again',
            rows,
        )
