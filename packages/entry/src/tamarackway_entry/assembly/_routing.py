"""Builds membership, plans, targets, shares and routing."""

from tamarackway_entry.assembly._local_member import LocalMember
from tamarackway_entry.kernel import Kernel, PauseDetector, SystemClock
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.peers import PeerService
from tamarackway_entry.plans import CurrentPlan, PlanService, PlanSubmitter
from tamarackway_entry.platform import (
    InventoryService,
    ObjectStore,
    TableService,
)
from tamarackway_entry.routes import LossService, RouteService
from tamarackway_entry.settings import Settings
from tamarackway_entry.shares import ShareService
from tamarackway_entry.targets import (
    Dispatcher,
    ProbeService,
    TargetDirectory,
)
from tamarackway_entry.telemetry import Metrics


def build_routing(kernel: Kernel) -> None:
    """Register the components that route requests.

    :param kernel: the kernel.
    """
    _build_plans(kernel)
    _build_targets(kernel)
    _build_routes(kernel)


def _build_plans(kernel: Kernel) -> None:
    settings = kernel.find('settings', Settings)
    clock = kernel.find('clock', SystemClock)
    metrics = kernel.find('metrics', Metrics)
    table = kernel.find('table', TableService)
    inventory = kernel.find('inventory', InventoryService)
    peers = PeerService(settings, inventory, clock, metrics)
    current = CurrentPlan()
    objects = kernel.find('objects', ObjectStore)
    plans = PlanService(
        current,
        PlanSubmitter(table, objects, clock),
        table,
        peers,
        settings.instance,
        kernel.find('pauses', PauseDetector),
        clock,
        metrics,
    )
    kernel.register('peers', peers)
    kernel.register('current-plan', current)
    kernel.register('plans', plans)


def _build_targets(kernel: Kernel) -> None:
    settings = kernel.find('settings', Settings)
    peers = kernel.find('peers', PeerService)
    directory = TargetDirectory(
        kernel.find('inventory', InventoryService),
        kernel.find('current-plan', CurrentPlan),
        peers,
    )
    dispatcher = Dispatcher(
        directory,
        settings.instance.outgoing_host,
        settings.callers.max_answer_bytes,
    )
    probes = ProbeService(directory, dispatcher, peers, settings.instance)
    kernel.register('targets', directory)
    kernel.register('dispatcher', dispatcher)
    kernel.register('probes', probes)


def _build_routes(kernel: Kernel) -> None:
    settings = kernel.find('settings', Settings)
    clock = kernel.find('clock', SystemClock)
    metrics = kernel.find('metrics', Metrics)
    current = kernel.find('current-plan', CurrentPlan)
    peers = kernel.find('peers', PeerService)
    directory = kernel.find('targets', TargetDirectory)
    incarnation = kernel.find('incarnation', str)
    shares = ShareService(
        current,
        kernel.find('table', TableService),
        f'{settings.instance.name}/{incarnation}',
        settings.instance.max_instances,
        clock,
        metrics,
    )
    routes = RouteService(
        settings,
        current,
        directory,
        kernel.find('dispatcher', Dispatcher),
        shares,
        peers,
        clock,
        metrics,
    )
    losses = LossService(directory, peers, clock)
    local_member = LocalMember(
        settings.instance,
        incarnation,
        kernel.find('lifecycle', Lifecycle),
        current,
        routes,
        directory,
        losses,
    )
    peers.local_member = local_member
    kernel.register('losses', losses)
    kernel.register('shares', shares)
    kernel.register('routes', routes)
    kernel.register('self-view', local_member)
