"""Prometheus metrics of the daemon."""

from typing import Final

import prometheus_client as prom

from tamarackway_entry.memory import PROCESS_BUDGET
from tamarackway_entry.telemetry._load import LoadMetrics

_LATENCY_BUCKETS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
)


class Metrics:
    """All metrics of the daemon, in a separate registry."""

    def __init__(self) -> None:
        """Create the metrics."""
        registry = prom.CollectorRegistry()
        self.registry = registry
        self.latency_s = prom.Histogram(
            'tamarackway_request_seconds',
            'Time from receipt of a request to its answer.',
            ['route', 'service', 'outcome'],
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.refusals = prom.Counter(
            'tamarackway_refusals',
            'Requests that were refused.',
            ['service', 'reason'],
            registry=registry,
        )
        self.attempts = prom.Counter(
            'tamarackway_attempts',
            'Attempts; kind is first, hedge, retry, trial or detour.',
            ['service', 'kind'],
            registry=registry,
        )
        self.verdicts = prom.Counter(
            'tamarackway_verdicts',
            'How attempts at targets ended.',
            ['service', 'verdict'],
            registry=registry,
        )
        self.waiting = prom.Gauge(
            'tamarackway_waiting_requests',
            'Requests that wait for a free slot.',
            ['service'],
            registry=registry,
        )
        self.plan_version = prom.Gauge(
            'tamarackway_plan_version',
            'Version of the plan in force.',
            registry=registry,
        )
        self.plan_age_s = prom.Gauge(
            'tamarackway_plan_unconfirmed_seconds',
            'Time since a peer or the table last confirmed the plan.',
            registry=registry,
        )
        self.live_peers = prom.Gauge(
            'tamarackway_live_peers',
            'Other entry instances that are alive.',
            registry=registry,
        )
        self.inventory_age_s = prom.Gauge(
            'tamarackway_inventory_age_seconds',
            'Time since the instance list was last read.',
            registry=registry,
        )
        self.shares = prom.Gauge(
            'tamarackway_share_per_second',
            'Requests a second that this instance may start under a cap.',
            ['region', 'service'],
            registry=registry,
        )
        self.lines_dropped = prom.Gauge(
            'tamarackway_log_lines_dropped',
            'Log lines dropped because their reader is slow.',
            registry=registry,
        )
        prom.Gauge(
            'tamarackway_message_bytes',
            'Memory that requests and responses take.',
            registry=registry,
        ).set_function(lambda: PROCESS_BUDGET.used_bytes)
        self.load = LoadMetrics(registry)
        self.store_calls = prom.Gauge(
            'tamarackway_store_calls',
            'Calls to the store since the start.',
            registry=registry,
        )
        self.usable_targets = prom.Gauge(
            'tamarackway_usable_targets',
            'Targets that may get new requests.',
            ['service'],
            registry=registry,
        )
        self.claims = prom.Counter(
            'tamarackway_claims',
            'Claims by result.',
            ['result'],
            registry=registry,
        )
        self.table_writes = prom.Counter(
            'tamarackway_table_writes',
            'Transactions sent to the table.',
            registry=registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prom.generate_latest(self.registry)
