"""State for request routing: configuration, targets and statistics."""

import math

import anyio
from tamarackway_core.quarantine import QuarantineRegistry
from tamarackway_core.steering import (
    Catalogue,
    Configuration,
    ConfigurationOrder,
    DemandTracker,
    EvacuationTracker,
    OutdatedTarget,
    ReachabilityMonitor,
    RouteTable,
    RunTimeEstimator,
    ServicePolicy,
    TargetSelector,
    TargetStatsRegistry,
    WindowedRetryBudget,
)

from tamarackway_entry.forwarding._bounds import SteeringBounds


class SteeringState:
    """All state that routing decisions depend on.

    The event ``ready`` is set once the configuration and all targets are known.

    :param region: region of this instance.
    :param bounds: limits set by the platform.
    :param started_s: monotonic time at which the process started.
    """

    def __init__(
        self,
        region: str,
        bounds: SteeringBounds,
        started_s: float = -math.inf,
    ) -> None:
        """Start without a configuration."""
        self._started_s = started_s
        self.bounds = bounds
        self.configurations = ConfigurationOrder()
        self.configuration_content = b''
        self.targets_loaded = False
        self.ready = anyio.Event()
        self.routes = RouteTable(())
        self.catalogue = Catalogue()
        self.evacuations = EvacuationTracker()
        self.target_stats = TargetStatsRegistry()
        self.run_times = RunTimeEstimator()
        self.demand = DemandTracker(region)
        self.quarantine = QuarantineRegistry()
        self.reachability = ReachabilityMonitor()
        self.selector = TargetSelector(
            region,
            self.catalogue,
            self.target_stats,
            self.run_times,
            self.demand,
        )
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self.change_bounds(bounds)

    def change_bounds(self, bounds: SteeringBounds) -> None:
        """Apply changed limits; retry budgets keep their counts.

        :param bounds: limits set by the platform.
        """
        self.bounds = bounds
        self.selector.max_shift_per_s = bounds.max_shift_per_s
        for budget in self._budgets.values():
            budget.configure(
                bounds.retry_window_s,
                bounds.retry_ratio,
                bounds.retry_extra,
            )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, or None if none is known yet."""
        return self.configurations.current

    def configure(
        self,
        configuration: Configuration,
        content: bytes = b'',
        *,
        written_in: int = 0,
        read_in: int = 0,
    ) -> bool:
        """Apply a configuration if it is newer than the current one.

        :param configuration: an accepted configuration.
        :param content: its encoding in the store.
        :param written_in: history of the store in which it was certainly
            written, 0 if that is not known.
        :param read_in: history of the store in which it was read, 0 if a peer
            told it.
        :returns: whether it was applied.
        """
        if not self.configurations.apply(
            configuration, written_in=written_in, read_in=read_in
        ):
            return False
        self.configuration_content = content
        self.routes = RouteTable(configuration.routes)
        self._check_ready()
        return True

    def mark_targets_loaded(self) -> None:
        """Record that the complete list of targets is known."""
        self.targets_loaded = True
        self._check_ready()

    def mark_outdated(self, target: OutdatedTarget, now_s: float) -> None:
        """Record that a peer knows a target to be gone or leaving.

        :param target: its last record, as the peer knows it.
        :param now_s: monotonic time in seconds.
        """
        self.catalogue.outdated.record_peer_report(target)
        record = self.catalogue.find(target.name)
        if record is None or record.leaving:
            return
        known = (record.incarnation, record.sequence)
        if known <= (target.incarnation, target.sequence):
            self.catalogue.remove(target.name)
            self.catalogue.outdated.record_peer_report(target)
            self.catalogue.put(record, now_s, is_copy=True)

    def end_cut(
        self, service: str, failed_since_s: float, now_s: float
    ) -> None:
        """Use all targets of a service again after a cut of the own path.

        Only failures since the cut began were not those of the targets.

        :param service: name of the service.
        :param failed_since_s: monotonic time of the first failure.
        :param now_s: monotonic time in seconds.
        """
        for record in self.catalogue.list_usable(service).targets:
            stats = self.target_stats.find(
                record.name, record.incarnation, now_s
            )
            if stats.failing_since_s >= failed_since_s:
                stats.clear_failures(now_s)

    def policy(self, service: str) -> ServicePolicy:
        """Return the operator's policy for a service.

        Its rate limit for cold targets includes the factor and the extra
        requests that the platform sets.
        """
        known = None
        if self.configuration is not None:
            known = self.configuration.services.get(service)
        if known is None:
            return ServicePolicy(service)
        rate_per_s = known.cold_per_s * self.bounds.cold_multiplier
        return ServicePolicy(
            service,
            known.max_connections,
            known.cold_s,
            rate_per_s + self.bounds.cold_extra,
        )

    def longest_cold_s(self) -> float:
        """Return the longest cold period of any service in seconds."""
        if self.configuration is None:
            return 0
        services = self.configuration.services.values()
        return max((policy.cold_s for policy in services), default=0)

    def retry_budget(self, service: str) -> WindowedRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self.bounds.retry_window_s,
                self.bounds.retry_ratio,
                self.bounds.retry_extra,
                self._started_s,
            )
            self._budgets[service] = budget
        return budget

    def _check_ready(self) -> None:
        if self.targets_loaded and self.configuration is not None:
            self.ready.set()
