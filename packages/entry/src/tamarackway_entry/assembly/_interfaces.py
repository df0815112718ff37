"""Builds the interfaces for callers and operators, and the shutdown service."""

from typing import Final

from tamarackway_core.places import parse_address

from tamarackway_entry.admin import (
    AdminDependencies,
    AdminService,
    build_admin_app,
)
from tamarackway_entry.assembly._local_member import LocalMember
from tamarackway_entry.callers import (
    CallerApp,
    CallerService,
    EntryDiscovery,
    RequestParser,
)
from tamarackway_entry.decisions import DecisionLog
from tamarackway_entry.kernel import Kernel, SystemClock
from tamarackway_entry.lifecycle import Lifecycle, ShutdownService
from tamarackway_entry.lookups import LookupRunner
from tamarackway_entry.once import AtMostOnceRunner, OutcomeRecorder
from tamarackway_entry.peers import PeerService
from tamarackway_entry.plans import CurrentPlan, PlanService
from tamarackway_entry.settings import Settings
from tamarackway_entry.targets import TargetDirectory
from tamarackway_entry.telemetry import Metrics, Tracing

_GRACE_S: Final = 60.0


def build_interfaces(kernel: Kernel) -> None:
    """Register the interfaces and the shutdown service.

    :param kernel: the kernel.
    """
    _build_callers(kernel)
    _build_admin(kernel)
    lifecycle = kernel.find('lifecycle', Lifecycle)
    recorder = kernel.find('recorder', OutcomeRecorder)
    once = kernel.find('once', AtMostOnceRunner)
    shutdown = ShutdownService(
        lifecycle,
        kernel.find('clock', SystemClock),
        kernel.find('peers', PeerService).broadcast_heartbeat,
        lambda: recorder.is_idle and once.is_idle,
        lambda: _GRACE_S,
        kernel.find('settings', Settings).callers.advice_lifetime_s,
    )
    kernel.register('shutdown', shutdown)


def _build_callers(kernel: Kernel) -> None:
    settings = kernel.find('settings', Settings)
    clock = kernel.find('clock', SystemClock)
    lifecycle = kernel.find('lifecycle', Lifecycle)
    app = CallerApp(
        parser=RequestParser(
            settings.instance,
            kernel.find('current-plan', CurrentPlan),
            settings.callers.max_body_bytes,
            clock,
        ),
        discovery=EntryDiscovery(
            settings,
            kernel.find('peers', PeerService),
            kernel.find('self-view', LocalMember),
            lifecycle,
        ),
        plans=kernel.find('plans', PlanService),
        lookups=kernel.find('lookups', LookupRunner),
        once=kernel.find('once', AtMostOnceRunner),
        decisions=kernel.find('decisions', DecisionLog),
        lifecycle=lifecycle,
        tracing=kernel.find('tracing', Tracing),
        clock=clock,
        metrics=kernel.find('metrics', Metrics),
    )
    kernel.register('callers', CallerService(app, settings, lifecycle))


def _build_admin(kernel: Kernel) -> None:
    settings = kernel.find('settings', Settings)
    dependencies = AdminDependencies(
        settings,
        kernel.find('plans', PlanService),
        kernel.find('peers', PeerService),
        kernel.find('self-view', LocalMember),
        kernel.find('targets', TargetDirectory),
        kernel.find('decisions', DecisionLog),
        kernel.find('metrics', Metrics),
    )
    admin = AdminService(
        build_admin_app(dependencies),
        parse_address(settings.instance.admin),
        kernel.find('lifecycle', Lifecycle),
    )
    kernel.register('admin', admin)
