"""Keeps the plan in force up to date from peers and the table."""

from typing import Any, Final

import anyio
from tamarackway_core.errors import SheetError
from tamarackway_core.membership import Member, elect
from tamarackway_core.sheet import AcceptedPlan
from tamarackway_core.wire import (
    Message,
    Ok,
    PlanPush,
    PlanReply,
    PlanRequest,
)

from tamarackway_entry.kernel import Clock, PauseDetector
from tamarackway_entry.peers import PeerService, PeerUnreachableError
from tamarackway_entry.plans._confirmation import Confirmation
from tamarackway_entry.plans._current import CurrentPlan
from tamarackway_entry.plans._rows import (
    HISTORY_PREFIX,
    POINTER_KEY,
    PlanPointer,
    parse_pointer,
)
from tamarackway_entry.plans._submit import PlanSubmitter
from tamarackway_entry.platform import (
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)
from tamarackway_entry.settings import InstanceSettings
from tamarackway_entry.telemetry import Metrics, component_logger

_TICK_S: Final = 0.25
_POLL_S: Final = 1.0
_CONFIRM_WAIT_S: Final = 1.0
_MAX_ASKED: Final = 3  # peers asked at once, as one of them may be lost
_MAX_HISTORY: Final = 100
_log = component_logger('plans')


class PlanService:
    """Learns plans and passes them on.

    :param current: the plan in force.
    :param submitter: accepts sheets.
    :param table: the table service.
    :param peers: the other entry instances.
    :param instance: who this instance is.
    :param pauses: counts pauses of the process.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.

    One instance of each failure domain polls the table; the others learn
    from the version in each heartbeat.
    """

    def __init__(
        self,
        current: CurrentPlan,
        submitter: PlanSubmitter,
        table: TableService,
        peers: PeerService,
        instance: InstanceSettings,
        pauses: PauseDetector,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Register for messages of peers."""
        self.current = current
        self._submitter = submitter
        self._table = table
        self._peers = peers
        self._instance = instance
        self._clock = clock
        self._metrics = metrics
        self._word = Confirmation(pauses, clock)
        self._ahead: set[str] = set()
        peers.register_handler(PlanPush, self._take_push)
        peers.register_handler(PlanRequest, self._take_request)
        peers.add_listener(self._hear)

    @property
    def is_ready(self) -> bool:
        """Whether a plan was learnt and confirmed at least once."""
        return self.current.plan is not None and self._word.is_known

    async def run(self) -> None:
        """Poll, pull and resolve doubts until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._resolve_doubts)
            await self._follow()

    async def submit(
        self,
        sheet: str,
        author: str,
        base_version: int | None,
    ) -> tuple[AcceptedPlan, int]:
        """Accept a sheet, tell all peers and return how many confirmed it.

        :param sheet: text of the CSV file.
        :param author: operator who submits it.
        :param base_version: version that the operator started from, or None.
        :raises TamarackwayError: as :meth:`PlanSubmitter.submit` does.
        """
        mark = self._word.mark()
        push = await self._submitter.submit(sheet, author, base_version)
        self._adopt(push)
        self._word.confirm(mark)
        told = await self._peers.broadcast(push)
        return push.plan, told

    async def history(self) -> list[dict[str, Any]]:
        """Return the accepted plans, the newest last.

        :raises StoreUnavailableError: if the table does not answer.
        """
        rows = await self._table.scan(HISTORY_PREFIX, _MAX_HISTORY)
        return [row.value for row in rows.values()]

    async def wait_confirmed(self) -> None:
        """Wait shortly for word on the plan after a pause of the process."""
        if not self._word.is_known:
            self._word.doubt()
            await self._word.wait_known(_CONFIRM_WAIT_S)

    async def _follow(self) -> None:
        next_poll_s = self._clock.now_s()
        while True:
            now_s = self._clock.now_s()
            if now_s >= next_poll_s and self._is_poller():
                next_poll_s = now_s + _POLL_S
                await self._poll()
            while self._ahead:
                await self._ask(self._ahead.pop())
            self._report()
            await anyio.sleep(_TICK_S)

    async def _resolve_doubts(self) -> None:
        while True:
            if self._word.is_known:
                await self._word.wait_doubted(_TICK_S)
                continue
            self._word.doubt()
            await self._ask_again()
            await self._word.wait_known(_TICK_S)

    async def _ask_again(self) -> None:
        version = max(self.current.version, 1)
        informed = [
            member.instance.name
            for member in self._peers.list_live()
            if member.plan_version >= version
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll)
            for name in informed[:_MAX_ASKED]:
                group.start_soon(self._ask, name)

    def _is_poller(self) -> bool:
        if not self.is_ready:
            return True
        domain = f'{self._instance.region}/{self._instance.failure_domain}'
        names = [
            member.instance.name
            for member in self._peers.list_live()
            if member.instance.place.region == self._instance.region
            and member.instance.place.failure_domain
            == self._instance.failure_domain
        ]
        names.append(self._instance.name)
        return elect(names, f'plan-poll/{domain}') == self._instance.name

    async def _poll(self) -> None:
        mark = self._word.mark()
        try:
            rows = await self._table.read(
                [POINTER_KEY],
                bypass_breaker=not self._word.is_known,
            )
            await self._follow_pointer(parse_pointer(rows[0].value), mark)
        except (StoreUnavailableError, StoreInDoubtError) as error:
            _log.debug('The plan was not read from the table: %s.', error)

    async def _follow_pointer(
        self,
        pointer: PlanPointer | None,
        mark: int,
    ) -> None:
        if pointer is None:
            return
        if pointer.version > self.current.version:
            sheet = await self._submitter.fetch_sheet(pointer.digest)
            plan = AcceptedPlan(
                pointer.version,
                pointer.digest,
                pointer.author,
                pointer.accepted_at_s,
                sheet,
            )
            self._adopt(PlanPush(plan, pointer.starts))
        self._word.confirm(mark)

    async def _ask(self, name: str) -> None:
        mark = self._word.mark()
        request = PlanRequest(self.current.version)
        try:
            reply = await self._peers.request(name, request)
        except PeerUnreachableError as error:
            _log.info('No plan from %s: %s.', name, error)
            return
        if not isinstance(reply, PlanReply):
            return
        if reply.push:
            self._adopt(reply.push)
        self._word.confirm(mark)

    def _hear(self, member: Member) -> None:
        if member.plan_version > self.current.version:
            self._ahead.add(member.instance.name)
        elif member.plan_version == self.current.version:
            self._word.refresh()

    async def _take_push(self, push: PlanPush) -> Message:
        self._adopt(push)
        return Ok()

    async def _take_request(self, request: PlanRequest) -> Message:
        push = self.current.as_push()
        if push is None or push.plan.version <= request.above:
            return PlanReply(None)
        return PlanReply(push)

    def _adopt(self, push: PlanPush) -> None:
        try:
            adopted = self.current.adopt(push)
        except SheetError:
            _log.exception('Plan %d has faults.', push.plan.version)
            return
        if adopted:
            self._word.refresh()
            _log.info(
                'Plan %d by %s is in force.',
                push.plan.version,
                push.plan.author,
            )

    def _report(self) -> None:
        self._metrics.plan_version.set(self.current.version)
        age_s = self._word.age_s
        if age_s is not None:
            self._metrics.plan_age_s.set(age_s)
