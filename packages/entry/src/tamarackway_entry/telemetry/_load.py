"""Metrics that tell whether an instance keeps up with its callers."""

from typing import Final

import prometheus_client as prom

_LAG_BUCKETS_S: Final = (0.002, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2)


class LoadMetrics:
    """Metrics of the load of one instance.

    :param registry: the registry of all its metrics.
    """

    def __init__(self, registry: prom.CollectorRegistry) -> None:
        """Create the metrics."""
        self.late_sends = prom.Counter(
            'tamarackway_late_sends',
            'Requests that were sent on although their callers had left.',
            ['service'],
            registry=registry,
        )
        self.departures = prom.Counter(
            'tamarackway_departures',
            'Requests that were not started, since their callers had left.',
            registry=registry,
        )
        self.is_behind = prom.Gauge(
            'tamarackway_is_behind',
            'Whether the instance has a standing backlog of requests.',
            registry=registry,
        )
        self.loop_lag_s = prom.Histogram(
            'tamarackway_loop_lag_seconds',
            'How late a timer of the event loop fired.',
            buckets=_LAG_BUCKETS_S,
            registry=registry,
        )
        self.stalled_s = prom.Counter(
            'tamarackway_stalled_seconds',
            'Time by which the process ran later than it should.',
            registry=registry,
        )
        self.quarantined = prom.Gauge(
            'tamarackway_quarantined_requests',
            'Requests that are refused since they crashed targets.',
            registry=registry,
        )
        self.suppressed_lines = prom.Counter(
            'tamarackway_log_lines_left_out',
            'Lines on served requests that were left out under load.',
            registry=registry,
        )
