"""Paths of this instance to the targets of each service."""

import itertools
from collections.abc import Callable, Container, Coroutine, Sequence
from typing import Any, Final

import anyio
from tamarackway_core.steering import TargetRecord

from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger
from tamarackway_entry.upstream import Connection, NotSentError

_PROBE_INTERVAL_S: Final = 0.2
_PROBED_TARGETS: Final = 3  # at the same time
_log = component_logger('targets')
ConnectToTarget = Callable[[TargetRecord], Coroutine[Any, Any, Connection]]


class TargetPaths:
    """Detects cuts of the paths to targets, and finds out when they end.

    While a cut is suspected, connections to targets of the service are opened
    in turn. It is confirmed if none opens, and ends once one does. The callback
    ``on_cut`` is called with the targets of a service once it is confirmed,
    ``on_reached`` with each target that responded or accepted a connection, and
    the monotonic time in seconds at which that was asked for.

    :param state: targets and reachability of this instance.
    :param clock: clock of the daemon.
    :param connect: opens a connection to a target.
    """

    def __init__(
        self, state: SteeringState, clock: Clock, connect: ConnectToTarget
    ) -> None:
        """Start without a cut."""
        self.on_cut: Callable[[Sequence[TargetRecord]], None] = (
            lambda _targets: None
        )
        self.on_reached: Callable[[TargetRecord, float], None] = (
            lambda _target, _sent_s: None
        )
        self._state = state
        self._clock = clock
        self._connect = connect
        self._suspected = anyio.Event()
        self._turn = itertools.count()

    async def run(self) -> None:
        """Probe until cancelled, while any service may be cut off."""
        while True:
            while services := self._state.reachability.list_suspected():
                await self._probe_all(services)
                self._confirm(services)
                await anyio.sleep(_PROBE_INTERVAL_S)
            self._suspected = anyio.Event()
            await self._suspected.wait()

    def record_response(self, record: TargetRecord, sent_s: float) -> None:
        """Record that a target responded or accepted a connection.

        :param record: the target.
        :param sent_s: monotonic time at which the request was sent.
        """
        self.on_reached(record, sent_s)
        service = record.service
        failed_since_s = self._state.reachability.failed_since_s(service)
        if self._state.reachability.record_response(service, sent_s):
            _log.warning(
                'Service %s is reachable again, by target %s.',
                service,
                record.name,
            )
            self._state.end_cut(service, failed_since_s, self._clock.now_s())

    def record_failure(self, record: TargetRecord) -> None:
        """Record that a target accepted no connection, or lost one.

        :param record: the target.
        """
        service = record.service
        targets = self._state.catalogue.list_usable(service).targets
        if self._state.reachability.record_failure(
            service, record.name, len(targets), self._clock.now_s()
        ):
            _log.info('Service %s may not be reachable from here.', service)
            self._suspected.set()

    async def probe_others(
        self, service: str, excluded: Container[str]
    ) -> None:
        """Open connections to a few targets, if possible of one service.

        :param service: name of the service.
        :param excluded: names of targets that are known to be down.
        """
        configuration = self._state.configuration
        known = configuration.services if configuration else ()
        records = [
            record
            for name in dict.fromkeys((service, *known))
            for record in self._choose(name)
            if record.name not in excluded
        ]
        await self._probe_targets(
            sorted(records, key=self._has_failed)[:_PROBED_TARGETS]
        )

    def _confirm(self, services: Sequence[str]) -> None:
        """Confirm the cuts of services of which no target was reached."""
        for service in services:
            if self._state.reachability.confirm(service):
                _log.warning('Service %s is not reachable from here.', service)
                self.on_cut(self._state.catalogue.list_usable(service).targets)

    async def _probe_all(self, services: Sequence[str]) -> None:
        await self._probe_targets([
            record for service in services for record in self._choose(service)
        ])

    async def _probe_targets(self, records: Sequence[TargetRecord]) -> None:
        async with anyio.create_task_group() as group:
            for record in records:
                group.start_soon(self._probe, record)

    async def _probe(self, record: TargetRecord) -> None:
        started_s = self._clock.now_s()
        try:
            connection = await self._connect(record)
        except NotSentError as error:
            _log.debug('Target %s: %s.', record.name, error)
            return
        connection.close()
        self.record_response(record, started_s)

    def _choose(self, service: str) -> Sequence[TargetRecord]:
        """Return the targets to probe next: first those that have not failed.

        :param service: name of the service.
        """
        targets = self._state.catalogue.list_usable(service).targets
        if not targets:
            return ()
        first = next(self._turn) * _PROBED_TARGETS % len(targets)
        ordered = sorted(
            (*targets[first:], *targets[:first]), key=self._has_failed
        )
        return ordered[:_PROBED_TARGETS]

    def _has_failed(self, record: TargetRecord) -> bool:
        return self._state.reachability.has_failed(record.service, record.name)
