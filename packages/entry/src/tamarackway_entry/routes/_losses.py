"""Losses of targets, shared among all entry instances."""

import anyio
from tamarackway_core.membership import Member
from tamarackway_core.places import Target
from tamarackway_core.quarantine import Loss, QuarantineRegistry
from tamarackway_core.wire import LossReport, Message, Ok

from tamarackway_entry.kernel import Clock
from tamarackway_entry.peers import PeerService
from tamarackway_entry.routes._request import CallerRequest
from tamarackway_entry.targets import TargetDirectory
from tamarackway_entry.telemetry import component_logger

_log = component_logger('losses')


class LossService:
    """Quarantines requests that crash targets, on every entry instance.

    :param directory: the targets.
    :param peers: the other entry instances.
    :param clock: clock of the daemon.

    A loss is broadcast to all peers at once and repeated in heartbeats, in
    case the broadcast does not reach a peer.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        peers: PeerService,
        clock: Clock,
    ) -> None:
        """Register handlers for messages of peers."""
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._registry = QuarantineRegistry()
        self._unsent: list[Loss] = []
        self._loss_added = anyio.Event()
        peers.register_handler(LossReport, self._handle_report)
        peers.add_listener(self._handle_heartbeat)

    async def run(self) -> None:
        """Broadcast new losses until cancelled."""
        while True:
            await self._loss_added.wait()
            self._loss_added = anyio.Event()
            while self._unsent:
                await self._peers.broadcast(LossReport(self._unsent.pop()))

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether the request is quarantined for crashing targets."""
        now_s = self._clock.now_s()
        return self._registry.is_quarantined(request.digest, now_s)

    def report(self, request: CallerRequest, target: Target) -> None:
        """Record the loss of a target that was running a request.

        A loss is not counted while many targets of the service fail, since
        the request is then unlikely to be the cause.

        :param request: the request.
        :param target: the target.
        """
        targets = self._directory.list_service(request.rule.service)
        now_s = self._clock.now_s()
        if self._registry.is_group_failing(len(targets), now_s):
            _log.warning(
                'Many targets of %s fail; losses are not counted.',
                request.rule.service,
            )
            return
        loss = Loss(request.digest, target.name, target.incarnation)
        self._registry.report(loss, now_s)
        self._unsent.append(loss)
        self._loss_added.set()

    def list_recent(self) -> tuple[Loss, ...]:
        """Return the losses to include in heartbeats."""
        return self._registry.list_recent(self._clock.now_s())

    async def _handle_report(self, report: LossReport) -> Message:
        self._registry.report(report.loss, self._clock.now_s())
        return Ok()

    def _handle_heartbeat(self, member: Member) -> None:
        for loss in member.losses:
            self._registry.report(loss, self._clock.now_s())
