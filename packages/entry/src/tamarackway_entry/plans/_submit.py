"""Acceptance of sheets by compare-and-set."""

import enum
import uuid
from dataclasses import asdict, replace
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

_RESOLVE_TIMEOUT_S: Final = 10.0
_RESOLVE_INTERVAL_S: Final = 0.2


class _CommitStatus(enum.Enum):
    """Status of a commit whose answer was lost.

    ``OPEN`` is still unknown. ``OVERTAKEN`` means that another plan was
    accepted with the same version. ``NOT_WRITTEN`` is final: the pointer was
    rewritten, so that the commit fails even if it is executed late.
    """

    OPEN = enum.auto()
    ACCEPTED = enum.auto()
    OVERTAKEN = enum.auto()
    NOT_WRITTEN = enum.auto()


class PlanInDoubtError(TamarackwayError):
    """The result of the commit is unknown; the sheet may be in force."""


class PlanSubmitter:
    """Validates sheets and commits them as new plans.

    :param table: client of the table service.
    :param objects: client of the object store.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Store the dependencies."""
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
        :param base_version: version that the sheet is based on, or None to
            replace any version.
        :raises SheetError: if the sheet is invalid.
        :raises ConflictError: if another version than ``base_version`` is in
            force, or another plan was accepted at the same time.
        :raises StoreUnavailableError: if the sheet was not accepted.
        :raises PlanInDoubtError: if the result of the commit is unknown.
        """
        plan = parse_sheet(sheet)
        row = (await self._table.read([POINTER_KEY]))[0]
        current = parse_pointer(row.value)
        version = current.version if current else 0
        if base_version not in {None, version}:
            raise await self._build_conflict(current, plan)
        digest = digest_sheet(sheet)
        await self._objects.put(object_key(digest), sheet.encode())
        pointer = PlanPointer(
            version + 1,
            digest,
            author,
            self._clock.time_s(),
            str(uuid.uuid4()),
            await self._current_shares(current),
            self._table.history,
        )
        if not await self._commit(pointer, row.revision):
            newer = (await self._table.read([POINTER_KEY]))[0]
            raise await self._build_conflict(parse_pointer(newer.value), plan)
        accepted = AcceptedPlan(
            pointer.version,
            digest,
            author,
            pointer.accepted_at_s,
            sheet,
            pointer.history,
        )
        return PlanPush(accepted, pointer.starts)

    async def submit_again(self, push: PlanPush) -> PlanPush | None:
        """Commit a plan again that a restored table has lost.

        Returns the plan as it is committed now, or None if another instance
        or operator was faster.

        :param push: the plan in force, with the starts of its ramps.
        :raises StoreUnavailableError: if it was not accepted.
        :raises PlanInDoubtError: if the result of the commit is unknown.
        """
        plan = push.plan
        row = (await self._table.read([POINTER_KEY]))[0]
        stored = parse_pointer(row.value)
        if stored is not None and stored.order >= plan.order:
            return None
        await self._objects.put(object_key(plan.digest), plan.sheet.encode())
        pointer = PlanPointer(
            plan.version,
            plan.digest,
            plan.author,
            plan.accepted_at_s,
            str(uuid.uuid4()),
            push.starts,
            self._table.history,
        )
        if not await self._commit(pointer, row.revision):
            return None
        return PlanPush(replace(plan, history=pointer.history), push.starts)

    async def fetch_sheet(self, digest: str) -> str:
        """Fetch a sheet by its digest.

        :param digest: SHA-256 of the sheet.
        :raises StoreUnavailableError: if the store cannot return it.
        """
        body = await self._objects.get(object_key(digest))
        if body is None:
            raise StoreUnavailableError(
                f'sheet {digest} is not in the object store'
            )
        return body.decode()

    async def _commit(self, pointer: PlanPointer, revision: int) -> bool:
        """Write pointer and history row; return False on a conflict."""
        value = asdict(pointer)
        operations = [
            Operation(POINTER_KEY, value, revision, pointer.history),
            Operation(
                history_key(pointer.version), value, history=pointer.history
            ),
        ]
        try:
            committed = await self._table.transact(operations)
            return isinstance(committed, Committed)
        except StoreInDoubtError:
            return await self._resolve_commit(pointer)

    async def _resolve_commit(self, pointer: PlanPointer) -> bool:
        status: _CommitStatus = _CommitStatus.OPEN
        with anyio.move_on_after(_RESOLVE_TIMEOUT_S):
            while status == _CommitStatus.OPEN:
                await anyio.sleep(_RESOLVE_INTERVAL_S)
                status = await self._check_commit(pointer)
        if status == _CommitStatus.OPEN:
            raise PlanInDoubtError(
                f'it is unknown whether sheet {pointer.digest} was accepted',
                'look for this digest in tamarackctl plan history',
            )
        if status == _CommitStatus.NOT_WRITTEN:
            raise StoreUnavailableError('the sheet was not accepted')
        return status == _CommitStatus.ACCEPTED

    async def _check_commit(self, pointer: PlanPointer) -> _CommitStatus:
        """Look up the commit in the history.

        A later plan may have replaced the pointer, but not the history row.
        """
        keys = [POINTER_KEY, history_key(pointer.version)]
        try:
            current, history = await self._table.read(keys)
            accepted = parse_pointer(history.value)
            if accepted is None:
                return await self._fence(current)
        except (StoreUnavailableError, StoreInDoubtError):
            return _CommitStatus.OPEN
        if accepted.token == pointer.token:
            return _CommitStatus.ACCEPTED
        return _CommitStatus.OVERTAKEN

    async def _fence(self, current: Row) -> _CommitStatus:
        """Rewrite the pointer so that a delayed commit fails its comparison.

        Without a pointer there is nothing to rewrite, and the status is open.
        """
        if current.value is None:
            return _CommitStatus.OPEN
        write = Operation(
            POINTER_KEY, current.value, current.revision, self._table.history
        )
        committed = await self._table.transact([write])
        if isinstance(committed, Committed):
            return _CommitStatus.NOT_WRITTEN
        return _CommitStatus.OPEN

    async def _current_shares(
        self, current: PlanPointer | None
    ) -> dict[str, float]:
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

    async def _build_conflict(
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
