"""Builds the components that execute look-ups and at-most-once requests."""

from typing import Final

from tamarackway_core.once import AttemptRegistry

from tamarackway_entry.kernel import Kernel, SystemClock
from tamarackway_entry.lookups import LookupRunner
from tamarackway_entry.once import (
    AtMostOnceRunner,
    AttemptTracker,
    ClaimBatcher,
    Claimer,
    JoinService,
    OutcomeRecorder,
    SweepService,
)
from tamarackway_entry.peers import PeerService
from tamarackway_entry.platform import ObjectStore, TableService
from tamarackway_entry.routes import LossService, RouteService
from tamarackway_entry.settings import Settings
from tamarackway_entry.targets import Dispatcher
from tamarackway_entry.telemetry import Metrics, Tracing

_CLAIM_INTERVAL_S: Final = 0.02
_OUTCOME_DELAY_S: Final = 0.05


def build_requests(kernel: Kernel) -> None:
    """Register the components that execute requests.

    :param kernel: the kernel.
    """
    kernel.register(
        'lookups',
        LookupRunner(
            kernel.find('routes', RouteService),
            kernel.find('losses', LossService),
            kernel.find('dispatcher', Dispatcher),
            kernel.find('tracing', Tracing),
            kernel.find('clock', SystemClock),
            kernel.find('metrics', Metrics),
        ),
    )
    _build_claims(kernel)
    kernel.register('once', _build_once(kernel))


def _build_claims(kernel: Kernel) -> None:
    settings = kernel.find('settings', Settings)
    table = kernel.find('table', TableService)
    objects = kernel.find('objects', ObjectStore)
    peers = kernel.find('peers', PeerService)
    clock = kernel.find('clock', SystemClock)
    incarnation = kernel.find('incarnation', str)
    registry = AttemptRegistry()
    attempts = AttemptTracker()
    claims = ClaimBatcher(table, spacing_s=_CLAIM_INTERVAL_S)
    outcomes = ClaimBatcher(table, linger_s=_OUTCOME_DELAY_S)
    joins = JoinService(registry, attempts, peers, incarnation, clock)
    claimer = Claimer(
        instance=settings.instance.name,
        incarnation=incarnation,
        registry=registry,
        batcher=claims,
        joins=joins,
        objects=objects,
        metrics=kernel.find('metrics', Metrics),
    )
    sweep = SweepService(table, peers, settings.instance.name, clock)
    kernel.register('ledger', registry)
    kernel.register('watch', attempts)
    kernel.register('claim-writes', claims)
    kernel.register('outcome-writes', outcomes)
    kernel.register('joins', joins)
    kernel.register('claimer', claimer)
    kernel.register('recorder', OutcomeRecorder(outcomes, objects))
    kernel.register('sweep', sweep)


def _build_once(kernel: Kernel) -> AtMostOnceRunner:
    return AtMostOnceRunner(
        registry=kernel.find('ledger', AttemptRegistry),
        attempts=kernel.find('watch', AttemptTracker),
        claimer=kernel.find('claimer', Claimer),
        recorder=kernel.find('recorder', OutcomeRecorder),
        joins=kernel.find('joins', JoinService),
        routes=kernel.find('routes', RouteService),
        losses=kernel.find('losses', LossService),
        dispatcher=kernel.find('dispatcher', Dispatcher),
        tracing=kernel.find('tracing', Tracing),
        clock=kernel.find('clock', SystemClock),
        metrics=kernel.find('metrics', Metrics),
    )
