"""What this instance knows: configuration, targets and observations."""

import math

import anyio
from tamarackway_core.quarantine import QuarantineRegistry
from tamarackway_core.steering import (
    Catalogue,
    Configuration,
    DemandTracker,
    RouteTable,
    RunTimeEstimator,
    ServicePolicy,
    TargetSelector,
    TargetStatsRegistry,
    WindowedRetryBudget,
)

from tamarackway_entry.forwarding._bounds import SteeringBounds


class SteeringState:
    """Everything that a decision on a request rests on.

    :param region: region of this instance.
    :param bounds: bounds of the platform.
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
        self.configuration: Configuration | None = None
        self.targets_loaded = False
        self.ready = anyio.Event()
        self.routes = RouteTable(())
        self.catalogue = Catalogue()
        self.observations = TargetStatsRegistry()
        self.work = RunTimeEstimator()
        self.demand = DemandTracker(region)
        self.quarantine = QuarantineRegistry()
        self.selector = TargetSelector(
            region,
            self.catalogue,
            self.observations,
            self.work,
            self.demand,
        )
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self.change_bounds(bounds)

    def change_bounds(self, bounds: SteeringBounds) -> None:
        """Follow changed bounds; what was counted under the old ones stays.

        :param bounds: bounds of the platform.
        """
        self.bounds = bounds
        self.selector.max_shift_per_s = bounds.max_shift_per_s
        for budget in self._budgets.values():
            budget.configure(
                bounds.retry_window_s,
                bounds.retry_ratio,
                bounds.retry_extra,
            )

    def configure(self, configuration: Configuration) -> bool:
        """Take a configuration unless it is older, and tell whether.

        :param configuration: an accepted configuration.
        """
        known = self.configuration
        if known is not None and known.version >= configuration.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        self._check_ready()
        return True

    def load_targets(self) -> None:
        """Note that all targets are known."""
        self.targets_loaded = True
        self._check_ready()

    def policy(self, service: str) -> ServicePolicy:
        """Return the operator's policy for a service, with its cold bound."""
        known = None
        if self.configuration is not None:
            known = self.configuration.services.get(service)
        if known is None:
            return ServicePolicy(service)
        borne = known.cold_per_s * self.bounds.cold_multiplier
        return ServicePolicy(
            service,
            known.max_connections,
            known.cold_s,
            borne + self.bounds.cold_extra,
        )

    def longest_cold_s(self) -> float:
        """Return the longest time that a target of any service is cold."""
        if self.configuration is None:
            return 0
        services = self.configuration.services.values()
        return max((policy.cold_s for policy in services), default=0)

    def budget(self, service: str) -> WindowedRetryBudget:
        """Return the budget of repeats of a service."""
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
