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

from tamarackway_entry.kernel import Clock
from tamarackway_entry.peers import PeerLostError, PeerService
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
from tamarackway_entry.telemetry import Metrics, part_logger

_TICK_S: Final = 0.25
_POLL_S: Final = 1.0
_PAUSE_S: Final = 2.0
_CONFIRM_WAIT_S: Final = 1.0
_MAX_HISTORY: Final = 100
_log = part_logger('plans')


class PlanService:
    """Learns plans and passes them on.

    :param current: the plan in force.
    :param submitter: accepts sheets.
    :param table: the table service.
    :param peers: the other entry instances.
    :param instance: who this instance is.
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
        self._confirmed_s: float | None = None
        self._confirmed = anyio.Event()
        self._ahead: set[str] = set()
        peers.handle(PlanPush, self._take_push)
        peers.handle(PlanRequest, self._take_request)
        peers.listen(self._hear)

    @property
    def is_ready(self) -> bool:
        """Whether a plan was learnt and confirmed at least once."""
        return self.current.plan is not None and self._confirmed.is_set()

    async def run(self) -> None:
        """Poll and pull until cancelled."""
        next_poll_s = self._clock.now_s()
        last_tick_s = next_poll_s
        while True:
            now_s = self._clock.now_s()
            if now_s - last_tick_s > _PAUSE_S:
                self._doubt()
            last_tick_s = now_s
            if now_s >= next_poll_s and self._is_poller():
                next_poll_s = now_s + _POLL_S
                await self._poll()
            await self._pull()
            self._report()
            await anyio.sleep(_TICK_S)

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
        push = await self._submitter.submit(sheet, author, base_version)
        self._adopt(push)
        self._confirm()
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
        if not self._confirmed.is_set():
            with anyio.move_on_after(_CONFIRM_WAIT_S):
                await self._confirmed.wait()

    def check_pause(self, last_seen_s: float) -> None:
        """Doubt the plan if the process was paused.

        :param last_seen_s: monotonic time when the process last worked.
        """
        if self._clock.now_s() - last_seen_s > _PAUSE_S:
            self._doubt()

    def _doubt(self) -> None:
        if self._confirmed.is_set():
            _log.warning('The process was paused; the plan may be old.')
            self._confirmed = anyio.Event()

    def _confirm(self) -> None:
        self._confirmed_s = self._clock.now_s()
        self._confirmed.set()

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
        try:
            row = (await self._table.read([POINTER_KEY]))[0]
            await self._follow_pointer(parse_pointer(row.value))
        except (StoreUnavailableError, StoreInDoubtError):
            return

    async def _follow_pointer(self, pointer: PlanPointer | None) -> None:
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
        self._confirm()

    async def _pull(self) -> None:
        while self._ahead:
            name = self._ahead.pop()
            request = PlanRequest(self.current.version)
            try:
                reply = await self._peers.ask(name, request)
            except PeerLostError as error:
                _log.info('No plan from %s: %s.', name, error)
                continue
            if isinstance(reply, PlanReply) and reply.push:
                self._adopt(reply.push)

    def _hear(self, member: Member) -> None:
        if member.plan_version > self.current.version:
            self._ahead.add(member.instance.name)
        elif self.current.plan and member.plan_version == self.current.version:
            self._confirm()

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
            self._confirm()
            _log.info(
                'Plan %d by %s is in force.',
                push.plan.version,
                push.plan.author,
            )

    def _report(self) -> None:
        self._metrics.plan_version.set(self.current.version)
        if self._confirmed_s is not None:
            age_s = self._clock.now_s() - self._confirmed_s
            self._metrics.plan_age_s.set(age_s)
