"""Simulated benchmarks of the routing policy."""

import statistics
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import cache
from typing import Final

from tamarackway_bench.figures._figure import Figure
from tamarackway_bench.fleet import LEITURA, SKALNI, FleetSpec
from tamarackway_bench.sim import (
    Experiment,
    Policy,
    Results,
    Slowness,
    run_experiment,
)

_MEDIAN: Final = 50
_P99: Final = 99
_P99_9: Final = 99.9
_MEDIUM_LOAD: Final = 0.5
_HIGH_LOAD: Final = 0.7
_MS_PER_S: Final = 1000
_MEDIAN_OF_EXPONENTIAL: Final = 0.6931


@dataclass(frozen=True, slots=True)
class SimulationSize:
    """Size of the simulation runs.

    :param requests: requests per run.
    :param seeds: seeds; latencies are averaged over them.
    """

    requests: int
    seeds: tuple[int, ...]


QUICK: Final = SimulationSize(8000, (1,))
FULL: Final = SimulationSize(30_000, (1, 2, 3))


def measure_policy(*, quick: bool) -> Iterator[Figure]:
    """Yield the figures of the full policy and of the baseline policies.

    :param quick: simulate fewer requests with a single seed.
    """
    size = QUICK if quick else FULL
    yield from _measure_skalni(size)
    yield from _measure_leitura(size)


def _measure_skalni(size: SimulationSize) -> Iterator[Figure]:
    for policy in Policy:
        for slowness in Slowness:
            case = _simulate(size, SKALNI, policy, _MEDIUM_LOAD, slowness)
            name = f'skalni_{policy}_{slowness}_0.5'
            yield Figure(f'{name}_short_p99', case.short_ms(_P99), 'ms')
            yield Figure(f'{name}_p99.9', case.all_ms(_P99_9), 'ms')
    yield from _compare_slowness(size)


def _compare_slowness(size: SimulationSize) -> Iterator[Figure]:
    bounds = ((_MEDIUM_LOAD, 1.1), (_HIGH_LOAD, 1.2))
    for load, bound in bounds:
        fixed = _simulate(size, SKALNI, Policy.FULL, load, Slowness.FIXED)
        none = _simulate(size, SKALNI, Policy.FULL, load, Slowness.NONE)
        ratio = fixed.short_ms(_P99) / none.short_ms(_P99)
        name = f'skalni_slow_over_none_short_p99_{load}'
        yield Figure(name, ratio, 'ratio', at_most=bound)
    moving = _simulate(size, SKALNI, Policy.FULL, _MEDIUM_LOAD, Slowness.MOVING)
    none = _simulate(size, SKALNI, Policy.FULL, _MEDIUM_LOAD, Slowness.NONE)
    ratio = moving.short_ms(_P99) / none.short_ms(_P99)
    name = 'skalni_moving_over_none_short_p99_0.5'
    yield Figure(name, ratio, 'ratio', at_most=1.25)
    fixed = _simulate(size, SKALNI, Policy.FULL, _MEDIUM_LOAD, Slowness.FIXED)
    two_choices = _simulate(
        size, SKALNI, Policy.TWO_CHOICES, _MEDIUM_LOAD, Slowness.FIXED
    )
    ratio = fixed.all_ms(_P99_9) / two_choices.all_ms(_P99_9)
    name = 'skalni_p99.9_over_two_choices_slow_0.5'
    yield Figure(name, ratio, 'ratio', at_most=0.5)
    ratio = fixed.short_ms(_P99_9) / two_choices.short_ms(_P99_9)
    name = 'skalni_short_p99.9_over_two_choices_slow_0.5'
    yield Figure(name, ratio, 'ratio')
    extra = max(
        fixed.max_extra_percent(),
        moving.max_extra_percent(),
        none.max_extra_percent(),
    )
    yield Figure('skalni_extra_requests', extra, 'percent', at_most=5)


def _measure_leitura(size: SimulationSize) -> Iterator[Figure]:
    with_stragglers = _simulate(
        size, LEITURA, Policy.FULL, _MEDIUM_LOAD, Slowness.NONE
    )
    without_stragglers = _simulate(
        size, LEITURA, Policy.FULL, _MEDIUM_LOAD, Slowness.NONE, 0
    )
    work_ms = LEITURA.services[0].work_s * _MEDIAN_OF_EXPONENTIAL * _MS_PER_S
    unloaded_ms = work_ms + 2 * LEITURA.domain_ms
    ratio = with_stragglers.short_ms(_MEDIAN) / unloaded_ms
    name = 'leitura_p50_over_bare_0.5'
    yield Figure(name, ratio, 'ratio', at_most=1.05)
    ratio = with_stragglers.short_ms(_P99) / without_stragglers.short_ms(_P99)
    name = 'leitura_stragglers_over_none_short_p99_0.5'
    yield Figure(name, ratio, 'ratio', at_most=1.1)
    for policy in Policy:
        case = _simulate(size, LEITURA, policy, _MEDIUM_LOAD, Slowness.NONE)
        name = f'leitura_{policy}_0.5'
        yield Figure(f'{name}_short_p50', case.short_ms(_MEDIAN), 'ms')
        yield Figure(f'{name}_short_p99', case.short_ms(_P99), 'ms')
    yield Figure(
        'leitura_extra_requests',
        with_stragglers.max_extra_percent(),
        'percent',
        5,
    )


@dataclass(frozen=True, slots=True)
class _SeededResults:
    results: tuple[Results, ...]

    def short_ms(self, percentile: float) -> float:
        return statistics.fmean(
            result.short_ms(percentile) for result in self.results
        )

    def all_ms(self, percentile: float) -> float:
        return statistics.fmean(
            result.all_ms(percentile) for result in self.results
        )

    def max_extra_percent(self) -> float:
        return max(result.extra_percent for result in self.results)


def _simulate(
    size: SimulationSize,
    spec: FleetSpec,
    policy: Policy,
    load: float,
    slowness: Slowness,
    straggler_share: float = 0.01,
) -> _SeededResults:
    experiment = Experiment(
        spec,
        load,
        policy,
        size.requests,
        slowness=slowness,
        straggler_share=straggler_share,
    )
    return _SeededResults(
        tuple(
            _run_cached(replace(experiment, seed=seed)) for seed in size.seeds
        ),
    )


@cache
def _run_cached(experiment: Experiment) -> Results:
    return run_experiment(experiment)
