"""Routing of requests of all services to targets."""

import random
from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.places import Target
from tamarackway_core.routing import (
    Choice,
    LeastCostPolicy,
    RegionChoice,
    RouterSettings,
    ServiceRouter,
    Verdict,
    order_regions,
)
from tamarackway_core.sheet import PlanRow

from tamarackway_entry.kernel import Clock
from tamarackway_entry.peers import PeerService
from tamarackway_entry.plans import CurrentPlan
from tamarackway_entry.routes._queue import SlotQueue
from tamarackway_entry.routes._request import CallerRequest
from tamarackway_entry.settings import Settings
from tamarackway_entry.shares import ShareService
from tamarackway_entry.targets import Dispatcher, TargetDirectory
from tamarackway_entry.telemetry import Metrics

_REFRESH_INTERVAL_S: Final = 0.2
_MS_PER_S: Final = 1000
_MIN_WAIT_S: Final = 0.001
_RETRY_AFTER_S: Final = 1
_CAP_RETRY_INTERVAL_S: Final = 0.02


class RouteService:
    """Selects targets, with one router and one queue for each service.

    :param settings: settings of the daemon.
    :param current: the plan in force.
    :param directory: the targets.
    :param dispatcher: checks whether lost targets are reachable again.
    :param shares: enforces the rate caps of regions.
    :param peers: the other entry instances.
    :param clock: clock of the daemon.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        settings: Settings,
        current: CurrentPlan,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        shares: ShareService,
        peers: PeerService,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start without routers."""
        self._settings = settings
        self._current = current
        self._directory = directory
        self._dispatcher = dispatcher
        self._shares = shares
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random()  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._routers: dict[str, ServiceRouter] = {}
        self._queues: dict[str, SlotQueue] = {}
        self._group: TaskGroup | None = None
        self._probing: set[str] = set()

    async def run(self) -> None:
        """Update routers with changed targets until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                for service in self._routers:
                    self._refresh(service, group)
                await anyio.sleep(_REFRESH_INTERVAL_S)

    def run_in_background(
        self,
        function: Callable[..., Coroutine[Any, Any, Any]],
        *arguments: object,
    ) -> None:
        """Run a coroutine function in the background.

        :param function: the function.
        :param arguments: its arguments.
        """
        if self._group is not None:
            self._group.start_soon(function, *arguments)

    def router(self, service: str) -> ServiceRouter:
        """Return the router of a service."""
        router = self._routers.get(service)
        if router is None:
            routing = self._settings.routing
            router = ServiceRouter(
                LeastCostPolicy(len(self._peers.list_live()) + 1),
                RouterSettings(routing.extra_share, routing.hedge_quantile),
            )
            self._routers[service] = router
            self._queues[service] = SlotQueue(
                self._settings.callers.max_waiting,
            )
            self._update_router(service, router)
        return router

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight by service."""
        return {
            service: router.in_flight
            for service, router in self._routers.items()
        }

    def regions(self, request: CallerRequest) -> list[RegionChoice]:
        """Return the regions for a request, in order of preference."""
        distances_s = {
            region: distance_ms / _MS_PER_S
            for region, distance_ms in (
                self._settings.routing.distances_ms.items()
            )
        }
        return order_regions(
            request.rule,
            request.caller_region,
            distances_s,
            self._current.shares(request.rule, self._clock.time_s()),
            request.request_id,
        )

    async def acquire(
        self,
        request: CallerRequest,
        excluded: Collection[str] = (),
    ) -> Choice | Refusal:
        """Return a target with a free slot, waiting for one if necessary.

        :param request: the request.
        :param excluded: names of targets that must not be chosen.

        The attempt counts as in flight until :meth:`release` is called.
        """
        service = request.rule.service
        router = self.router(service)
        queue = self._queues[service]
        ticket = queue.take_ticket()
        regions = self.regions(request)
        while True:
            found = self._choose(request, router, regions, excluded)
            if isinstance(found, Choice):
                return found
            refusal = self._refuse_wait(request, router, queue, regions)
            remaining_s = request.deadline_s - self._clock.now_s()
            if found is not None:
                refusal = _refuse_capped(found, remaining_s) or refusal
                remaining_s = min(remaining_s, _CAP_RETRY_INTERVAL_S)
            if refusal is not None:
                return refusal
            self._metrics.waiting.labels(service).inc()
            try:
                await queue.wait(ticket, max(remaining_s, _MIN_WAIT_S))
            finally:
                self._metrics.waiting.labels(service).dec()

    def try_acquire(
        self,
        request: CallerRequest,
        excluded: Collection[str],
    ) -> Choice | None:
        """Return another target if one has a free slot now, or None.

        :param request: the request.
        :param excluded: names of targets that must not be chosen.
        """
        router = self.router(request.rule.service)
        regions = self.regions(request)
        found = self._choose(request, router, regions, excluded)
        if isinstance(found, Choice):
            return found
        return None

    def try_acquire_trial(self, request: CallerRequest) -> Choice | None:
        """Return an ejected target that is due for a trial request, or None.

        :param request: the request that is duplicated as the trial.

        The attempt counts as in flight until :meth:`release` is called.
        """
        router = self.router(request.rule.service)
        if not router.outlier_detector.slow:
            return None
        now_s = self._clock.now_s()
        choice = router.choose_trial(self.regions(request), now_s)
        if choice is None or not router.budget.spend_on_hedge():
            return None
        router.start(choice)
        return choice

    def release(
        self,
        request: CallerRequest,
        choice: Choice,
        latency_s: float,
        verdict: Verdict,
    ) -> None:
        """Record the result of an attempt and wake a waiting request.

        :param request: the request.
        :param choice: what :meth:`acquire` returned.
        :param latency_s: time since dispatch in seconds.
        :param verdict: how the attempt ended.
        """
        service = request.rule.service
        now_s = self._clock.now_s()
        self._routers[service].finish(choice, latency_s, verdict, now_s)
        self._metrics.verdicts.labels(service, verdict).inc()
        self._queues[service].wake()

    def _refresh(self, service: str, group: TaskGroup) -> None:
        router = self._routers[service]
        self._update_router(service, router)
        self._queues[service].wake_all()
        for target in router.list_lost():
            group.start_soon(self._probe, router, target)

    async def _probe(self, router: ServiceRouter, target: Target) -> None:
        if target.name in self._probing:
            return
        self._probing.add(target.name)
        try:
            if await self._dispatcher.is_reachable(target):
                router.outlier_detector.record_reachable(target.name)
        finally:
            self._probing.discard(target.name)

    def _choose(
        self,
        request: CallerRequest,
        router: ServiceRouter,
        regions: Sequence[RegionChoice],
        excluded: Collection[str],
    ) -> Choice | PlanRow | None:
        """Return a target, the row of a rate cap that was reached, or None."""
        now_s = self._clock.now_s()
        remaining = list(regions)
        capped = None
        while remaining:
            choice = router.choose(remaining, now_s, self._rng, excluded)
            if choice is None:
                break
            capped = self._shares.admit(
                choice.region.region,
                request.rule.service,
            )
            if capped is None:
                router.start(choice)
                self._explain(request, choice, now_s)
                return choice
            request.decision.add_row(capped)
            request.decision.add_step(
                now_s,
                f'{choice.region.region} is at its cap of {capped.amount:g} '
                f'{capped.unit}, so another region was considered',
            )
            remaining.remove(choice.region)
        return capped

    def _refuse_wait(
        self,
        request: CallerRequest,
        router: ServiceRouter,
        queue: SlotQueue,
        regions: Sequence[RegionChoice],
    ) -> Refusal | None:
        if not router.has_targets(regions):
            return Refusal(
                Reason.NO_TARGET,
                f'no target of {request.rule.service} is available',
                1,
            )
        if self._clock.now_s() >= request.deadline_s:
            return Refusal(Reason.DEADLINE, 'no slot was free in time')
        if queue.is_full:
            return Refusal(
                Reason.QUEUE_FULL, f'{len(queue)} requests are waiting', 1
            )
        return None

    def _explain(
        self,
        request: CallerRequest,
        choice: Choice,
        now_s: float,
    ) -> None:
        decision = request.decision
        decision.add_row(choice.region.row)
        place = choice.target.place
        text = (
            f'sent to target {choice.target.name} in {place.region}, failure '
            f'domain {place.failure_domain}: the least expected wait of '
            f'{choice.candidates} usable targets; the region serves '
            f'{choice.region.share:.0%} of the requests that reach it'
        )
        if choice.ejected:
            left_out = ', '.join(choice.ejected)
            text = f'{text}; left out as too slow: {left_out}'
        decision.add_step(now_s, text)

    def _update_router(self, service: str, router: ServiceRouter) -> None:
        now_s = self._clock.now_s()
        router.update_targets(self._directory.list_service(service), now_s)
        if isinstance(router.policy, LeastCostPolicy):
            router.policy.entries = len(self._peers.list_live()) + 1


def _refuse_capped(row: PlanRow, remaining_s: float) -> Refusal | None:
    if remaining_s > 0:
        return None
    return Refusal(Reason.REGION_CAP, row.describe(), _RETRY_AFTER_S)
