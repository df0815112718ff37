"""Losses of targets, shared with all entry instances."""

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
    """Quarantines requests that targets die of, on every entry instance.

    :param directory: the targets.
    :param peers: the other entry instances.
    :param clock: clocks of the daemon.

    A loss is told to all peers at once, and again with the heartbeats.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        peers: PeerService,
        clock: Clock,
    ) -> None:
        """Register for messages of peers."""
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._register = QuarantineRegistry()
        self._untold: list[Loss] = []
        self._arrived = anyio.Event()
        peers.register_handler(LossReport, self._take_report)
        peers.add_listener(self._hear)

    async def run(self) -> None:
        """Tell peers of new losses until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while self._untold:
                await self._peers.broadcast(LossReport(self._untold.pop()))

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether targets have died of the request."""
        now_s = self._clock.now_s()
        return self._register.is_quarantined(request.digest, now_s)

    def report(self, request: CallerRequest, target: Target) -> None:
        """Count the loss of a target that ran a request.

        :param request: the request.
        :param target: the target.
        """
        group = self._directory.list_service(request.rule.service)
        now_s = self._clock.now_s()
        if self._register.is_group_failing(len(group), now_s):
            _log.warning('Many targets of %s die.', request.rule.service)
            return
        loss = Loss(request.digest, target.name, target.incarnation)
        self._register.report(loss, now_s)
        self._untold.append(loss)
        self._arrived.set()

    def list_recent(self) -> tuple[Loss, ...]:
        """Return the losses to tell with heartbeats."""
        return self._register.list_recent(self._clock.now_s())

    async def _take_report(self, report: LossReport) -> Message:
        self._register.report(report.loss, self._clock.now_s())
        return Ok()

    def _hear(self, member: Member) -> None:
        for loss in member.losses:
            self._register.report(loss, self._clock.now_s())
