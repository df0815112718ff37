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
from tamarackway_entry.plans._submit import PlanInDoubtError, PlanSubmitter
from tamarackway_entry.platform import (
    StoreInDoubtError,
    StoreUnavailableError,
    TableService,
)
from tamarackway_entry.settings import InstanceSettings
from tamarackway_entry.telemetry import Metrics, component_logger

_CHECK_INTERVAL_S: Final = 0.25  # short, as PauseDetector.count requires
_POLL_INTERVAL_S: Final = 1.0
_CONFIRM_WAIT_S: Final = 1.0
_MAX_QUERIED_PEERS: Final = 3  # several, as one of them may be unreachable
_MAX_HISTORY: Final = 100
_log = component_logger('plans')


class PlanService:
    """Accepts plans, distributes them and keeps the plan in force current.

    :param current: the plan in force.
    :param submitter: accepts sheets and fetches them.
    :param table: client of the table service.
    :param peers: the other entry instances.
    :param instance: settings of this instance.
    :param pauses: counts pauses of the process.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.

    One instance of each failure domain polls the table. The others compare
    the version in each heartbeat and pull a newer plan from its sender.
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
        """Register the handlers of peer messages."""
        self.current = current
        self._submitter = submitter
        self._table = table
        self._peers = peers
        self._instance = instance
        self._clock = clock
        self._metrics = metrics
        self._confirmation = Confirmation(pauses, clock)
        self._newer_peers: set[str] = set()
        peers.register_handler(PlanPush, self._handle_push)
        peers.register_handler(PlanRequest, self._handle_request)
        peers.add_listener(self._handle_heartbeat)

    @property
    def is_ready(self) -> bool:
        """Whether there is a plan, confirmed since the last pause."""
        return self.current.plan is not None and self._confirmation.is_confirmed

    async def run(self) -> None:
        """Poll, pull and confirm the plan until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._restore_confirmation)
            await self._synchronize()

    async def submit(
        self,
        sheet: str,
        author: str,
        base_version: int | None,
    ) -> tuple[AcceptedPlan, int]:
        """Accept a sheet and push it to all peers.

        :param sheet: text of the CSV file.
        :param author: operator who submits it.
        :param base_version: version that the sheet is based on, or None to
            replace any version.
        :returns: the plan and the number of peers that acknowledged it.
        :raises TamarackwayError: as :meth:`PlanSubmitter.submit` does.
        """
        epoch = self._confirmation.epoch()
        push = await self._submitter.submit(sheet, author, base_version)
        self._adopt(push)
        self._confirmation.confirm(epoch)
        acknowledged = await self._peers.broadcast(push)
        return push.plan, acknowledged

    async def history(self) -> list[dict[str, Any]]:
        """Return the oldest accepted plans, up to a limit, oldest first.

        :raises StoreUnavailableError: if the table does not answer.
        """
        rows = await self._table.scan(HISTORY_PREFIX, _MAX_HISTORY)
        return [row.value for row in rows.values()]

    async def wait_confirmed(self) -> None:
        """After a pause, wait until the plan is confirmed again.

        Return after ``_CONFIRM_WAIT_S`` even if it is not.
        """
        if not self._confirmation.is_confirmed:
            self._confirmation.invalidate()
            await self._confirmation.wait_confirmed(_CONFIRM_WAIT_S)

    async def _synchronize(self) -> None:
        next_poll_s = self._clock.now_s()
        while True:
            now_s = self._clock.now_s()
            if now_s >= next_poll_s and self._is_poller():
                next_poll_s = now_s + _POLL_INTERVAL_S
                await self._poll()
            while self._newer_peers:
                await self._pull_from(self._newer_peers.pop())
            self._update_metrics()
            await anyio.sleep(_CHECK_INTERVAL_S)

    async def _restore_confirmation(self) -> None:
        while True:
            if self._confirmation.is_confirmed:
                await self._confirmation.wait_invalidated(_CHECK_INTERVAL_S)
                continue
            self._confirmation.invalidate()
            await self._request_confirmation()
            await self._confirmation.wait_confirmed(_CHECK_INTERVAL_S)

    async def _request_confirmation(self) -> None:
        # a peer at version 0 has no plan and cannot confirm one
        order = max(self.current.order, (0, 1))
        up_to_date = [
            member.instance.name
            for member in self._peers.list_live()
            if (member.plan_history, member.plan_version) >= order
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll)
            for name in up_to_date[:_MAX_QUERIED_PEERS]:
                group.start_soon(self._pull_from, name)

    def _is_poller(self) -> bool:
        """Return whether this instance polls for its failure domain.

        An instance that is not ready polls for itself.
        """
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
        epoch = self._confirmation.epoch()
        try:
            rows = await self._table.read(
                [POINTER_KEY],
                bypass_breaker=not self._confirmation.is_confirmed,
            )
            await self._apply_pointer(parse_pointer(rows[0].value), epoch)
        except (
            StoreUnavailableError,
            StoreInDoubtError,
            PlanInDoubtError,
        ) as error:
            _log.debug('Could not read the plan from the table: %s.', error)

    async def _apply_pointer(
        self,
        pointer: PlanPointer | None,
        epoch: int,
    ) -> None:
        push = self.current.as_push()
        if push is not None and (
            pointer is None or pointer.order < push.plan.order
        ):
            # Only a table that was restored from a copy is behind.
            restored = await self._submitter.submit_again(push)
            if restored is not None:
                _log.info(
                    'Plan %d was lost and is committed again.',
                    push.plan.version,
                )
                self._adopt(restored)
            return
        if pointer is None:
            return
        if pointer.order > self.current.order:
            sheet = await self._submitter.fetch_sheet(pointer.digest)
            plan = AcceptedPlan(
                pointer.version,
                pointer.digest,
                pointer.author,
                pointer.accepted_at_s,
                sheet,
                pointer.history,
            )
            self._adopt(PlanPush(plan, pointer.starts))
        self._confirmation.confirm(epoch)

    async def _pull_from(self, name: str) -> None:
        epoch = self._confirmation.epoch()
        request = PlanRequest(self.current.version, self.current.history)
        try:
            reply = await self._peers.request(name, request)
        except PeerUnreachableError as error:
            _log.info('Could not pull the plan from %s: %s.', name, error)
            return
        if not isinstance(reply, PlanReply):
            return
        if reply.push:
            self._adopt(reply.push)
        self._confirmation.confirm(epoch)

    def _handle_heartbeat(self, member: Member) -> None:
        order = (member.plan_history, member.plan_version)
        if order > self.current.order:
            self._newer_peers.add(member.instance.name)
        elif order == self.current.order:
            self._confirmation.refresh()

    async def _handle_push(self, push: PlanPush) -> Message:
        self._adopt(push)
        return Ok()

    async def _handle_request(self, request: PlanRequest) -> Message:
        push = self.current.as_push()
        above = (request.above_history, request.above)
        if push is None or push.plan.order <= above:
            return PlanReply(None)
        return PlanReply(push)

    def _adopt(self, push: PlanPush) -> None:
        try:
            adopted = self.current.adopt(push)
        except SheetError:
            _log.exception(
                'Plan %d is invalid and was ignored.', push.plan.version
            )
            return
        if adopted:
            self._confirmation.refresh()
            _log.info(
                'Plan %d by %s is in force.',
                push.plan.version,
                push.plan.author,
            )

    def _update_metrics(self) -> None:
        self._metrics.plan_version.set(self.current.version)
        age_s = self._confirmation.age_s
        if age_s is not None:
            self._metrics.plan_age_s.set(age_s)
