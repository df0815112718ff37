"""Periodic maintenance outside of requests."""

from collections.abc import Callable
from typing import Final

import anyio

from tamarackway_entry.forwarding import (
    CatalogueUpdater,
    SteeringState,
    TargetSender,
)
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import (
    BoundedLogHandler,
    Metrics,
    component_logger,
)

_INTERVAL_S: Final = 0.2
_MIN_STALL_S: Final = 0.2
_log = component_logger('daemon')


class Housekeeping:
    """Removes expired state, flushes logs and updates metrics.

    :param state: routing state of this instance.
    :param updater: removes expired targets from the catalogue.
    :param sender: holds the connections to targets.
    :param log_handler: handler that buffers log lines.
    :param metrics: metrics of the daemon.
    :param clock: clocks of the daemon.
    :param count_store_calls: returns the number of store calls so far.
    :param count_live_peers: returns the number of live peers.
    """

    def __init__(
        self,
        state: SteeringState,
        updater: CatalogueUpdater,
        sender: TargetSender,
        log_handler: BoundedLogHandler,
        metrics: Metrics,
        clock: Clock,
        count_store_calls: Callable[[], int],
        count_live_peers: Callable[[], int],
    ) -> None:
        """Create a housekeeping service."""
        self._state = state
        self._updater = updater
        self._sender = sender
        self._log_handler = log_handler
        self._metrics = metrics
        self._clock = clock
        self._count_store_calls = count_store_calls
        self._count_live_peers = count_live_peers
        self._reported_dropped = 0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            started_s = self._clock.now_s()
            await anyio.sleep(_INTERVAL_S)
            self._report_stall(self._clock.now_s() - started_s - _INTERVAL_S)
            self._updater.remove_expired()
            self._sender.close_removed(self._state.catalogue.names)
            self._log_handler.flush()
            self._report_dropped()
            self._update_metrics()

    def _report_stall(self, late_s: float) -> None:
        """Report that requests may have waited for the processor."""
        self._metrics.load.loop_lag_s.observe(max(late_s, 0))
        if late_s >= _MIN_STALL_S:
            self._metrics.load.stalled_s.inc(late_s)
            _log.warning('The process did not run for %.2f s.', late_s)

    def _report_dropped(self) -> None:
        dropped = self._log_handler.dropped
        if dropped > self._reported_dropped:
            self._reported_dropped = dropped
            _log.warning('Log lines dropped so far: %d.', dropped)

    def _update_metrics(self) -> None:
        self._metrics.lines_dropped.set(self._log_handler.dropped)
        self._metrics.store_calls.set(self._count_store_calls())
        self._metrics.live_peers.set(self._count_live_peers())
        self._metrics.load.quarantined.set(
            self._state.quarantine.count_quarantined(self._clock.now_s())
        )
        configuration = self._state.configuration
        if configuration is None:
            return
        self._metrics.plan_version.set(configuration.version)
        for service in configuration.services:
            usable = self._state.catalogue.list_usable(service).targets
            self._metrics.usable_targets.labels(service).set(len(usable))
