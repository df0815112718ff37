"""Regular work that no request waits for."""

from collections.abc import Callable
from typing import Final

import anyio

from tamarackway_entry.forwarding import (
    CatalogueUpdater,
    SteeringState,
    TargetSender,
)
from tamarackway_entry.telemetry import (
    BoundedLogHandler,
    Metrics,
    component_logger,
)

_INTERVAL_S: Final = 0.2
_log = component_logger('daemon')


class Housekeeping:
    """Forgets what is gone and flushes logs.

    :param state: what this instance knows.
    :param updater: takes targets.
    :param sender: holds connections to targets.
    :param output: log output.
    :param metrics: metrics of the daemon.
    :param count_calls: returns the calls to the store so far.
    :param peers_live: returns how many other instances are alive.
    """

    def __init__(
        self,
        state: SteeringState,
        updater: CatalogueUpdater,
        sender: TargetSender,
        output: BoundedLogHandler,
        metrics: Metrics,
        count_calls: Callable[[], int],
        peers_live: Callable[[], int],
    ) -> None:
        """Remember the parts."""
        self._state = state
        self._updater = updater
        self._sender = sender
        self._output = output
        self._metrics = metrics
        self._count_calls = count_calls
        self._peers_live = peers_live
        self._told_dropped = 0

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await anyio.sleep(_INTERVAL_S)
            self._updater.remove_lapsed()
            self._sender.close_removed(self._state.catalogue.names)
            self._output.flush()
            self._tell_dropped()
            self._measure()

    def _tell_dropped(self) -> None:
        dropped = self._output.dropped
        if dropped > self._told_dropped:
            self._told_dropped = dropped
            _log.warning('Log lines dropped so far: %d.', dropped)

    def _measure(self) -> None:
        self._metrics.lines_dropped.set(self._output.dropped)
        self._metrics.store_calls.set(self._count_calls())
        self._metrics.live_peers.set(self._peers_live())
        configuration = self._state.configuration
        if configuration is None:
            return
        self._metrics.plan_version.set(configuration.version)
        for service in configuration.services:
            usable = self._state.catalogue.list_usable(service).targets
            self._metrics.usable_targets.labels(service).set(len(usable))
