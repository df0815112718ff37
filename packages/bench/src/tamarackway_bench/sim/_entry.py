"""A simulated entry instance around the production router."""

import random
from collections import deque
from collections.abc import Generator
from typing import Any, Final

import simpy
from tamarackway_core.routing import (
    Choice,
    LeastCostPolicy,
    OutlierSettings,
    RandomPolicy,
    RegionChoice,
    RoundRobinPolicy,
    RouterSettings,
    ServiceRouter,
    TargetPolicy,
    TwoChoicesPolicy,
    Verdict,
)

from tamarackway_bench.sim._experiment import Policy
from tamarackway_bench.sim._results import Results
from tamarackway_bench.sim._targets import FakeTarget

_MIN_HEDGE_DELAY_S: Final = 0.002
_DISABLED_OUTLIER_SETTINGS: Final = OutlierSettings(max_share=0)
_ProcessGenerator = Generator[Any, Any, None]


class SimulatedEntry:
    """Serves the requests of one region.

    :param env: simulation environment.
    :param targets: fake targets by name.
    :param regions: regions, nearest first.
    :param policy: selection policy.
    :param entries: number of entry instances that share a region's targets.
    :param delays_s: one-way network delays in seconds, by region.
    :param rng: random number generator.
    :param results: collects latencies and attempts.
    """

    def __init__(
        self,
        *,
        env: simpy.Environment,
        targets: dict[str, FakeTarget],
        regions: list[RegionChoice],
        policy: Policy,
        entries: int,
        delays_s: dict[str, float],
        rng: random.Random,
        results: Results,
    ) -> None:
        """Create the router with its selection policy."""
        self._env = env
        self._targets = targets
        self._regions = regions
        self._is_full_policy = policy == Policy.FULL
        self._delays_s = delays_s
        self._rng = rng
        self._results = results
        settings = RouterSettings()
        if not self._is_full_policy:
            settings = RouterSettings(outliers=_DISABLED_OUTLIER_SETTINGS)
        self.router = ServiceRouter(_build_policy(policy, entries), settings)
        known = [fake_target.target for fake_target in targets.values()]
        self.router.update_targets(known, env.now)
        self._queue: deque[simpy.Event] = deque()

    def serve(self, factor: float, *, is_short: bool) -> _ProcessGenerator:
        """Serve one request.

        :param factor: multiplier of its work time.
        :param is_short: whether it is no straggler.
        """
        started_s = self._env.now
        choice = self._choose(())
        while choice is None:
            event = self._env.event()
            self._queue.append(event)
            yield event
            choice = self._choose(())
        self.router.budget.earn()
        if self._is_full_policy:
            self._start_trial(factor)
            yield from self._run_with_hedge(choice, factor)
        else:
            self.router.start(choice)
            yield self._env.process(self._run_attempt(choice, factor, 'first'))
        latency_s = self._env.now - started_s
        self._results.all_s.append(latency_s)
        if is_short:
            self._results.short_s.append(latency_s)

    def _choose(self, excluded: tuple[str, ...]) -> Choice | None:
        return self.router.choose(
            self._regions,
            self._env.now,
            self._rng,
            excluded,
        )

    def _start_trial(self, factor: float) -> None:
        trial = self.router.choose_trial(self._regions, self._env.now)
        if trial is not None and self.router.budget.spend_on_hedge():
            self.router.start(trial)
            self._env.process(self._run_attempt(trial, factor, 'trial'))

    def _run_with_hedge(
        self, first: Choice, factor: float
    ) -> _ProcessGenerator:
        self.router.start(first)
        attempts = [
            self._env.process(self._run_attempt(first, factor, 'first'))
        ]
        delay_s = self.router.hedge_delay_s()
        if delay_s is not None:
            hedge_timer = self._env.timeout(max(delay_s, _MIN_HEDGE_DELAY_S))
            yield attempts[0] | hedge_timer
            if attempts[0].is_alive:
                attempts.extend(self._start_hedge(first, factor))
        yield simpy.AnyOf(self._env, attempts)
        for attempt in attempts:
            if attempt.is_alive:
                attempt.interrupt()

    def _start_hedge(self, first: Choice, factor: float) -> list[simpy.Process]:
        budget = self.router.budget
        if not budget.spend_on_hedge():
            return []
        second = self._choose((first.target.name,))
        if second is None:
            return []
        self.router.start(second)
        return [self._env.process(self._run_attempt(second, factor, 'hedge'))]

    def _run_attempt(
        self, choice: Choice, factor: float, kind: str
    ) -> _ProcessGenerator:
        self._results.count_attempt(kind)
        started_s = self._env.now
        fake_target = self._targets[choice.target.name]
        delay_s = self._delays_s[choice.target.place.region]
        verdict = Verdict.CANCELLED
        try:
            yield self._env.timeout(delay_s)
            yield from fake_target.run(factor)
            yield self._env.timeout(delay_s)
            verdict = Verdict.ANSWERED
        except simpy.Interrupt:
            verdict = Verdict.CANCELLED
        latency_s = self._env.now - started_s
        self.router.finish(choice, latency_s, verdict, self._env.now)
        if self._queue:
            self._queue.popleft().succeed()


def _build_policy(policy: Policy, entries: int) -> TargetPolicy:
    if policy == Policy.RANDOM:
        return RandomPolicy()
    if policy == Policy.ROUND_ROBIN:
        return RoundRobinPolicy()
    if policy == Policy.TWO_CHOICES:
        return TwoChoicesPolicy()
    return LeastCostPolicy(entries)
