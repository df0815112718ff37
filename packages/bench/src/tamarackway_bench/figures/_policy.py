"""Figures of the policy under simulated time."""

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
_SHORT_TAIL: Final = 99
_FAR_TAIL: Final = 99.9
_HALF: Final = 0.5
_HIGH: Final = 0.7
_MS_PER_S: Final = 1000
_MEDIAN_OF_EXPONENTIAL: Final = 0.6931


@dataclass(frozen=True, slots=True)
class Size:
    """How much is simulated for each figure.

    :param requests: requests of each run.
    :param seeds: seeds; figures are means over them.
    """

    requests: int
    seeds: tuple[int, ...]


QUICK: Final = Size(8000, (1,))
FULL: Final = Size(30_000, (1, 2, 3))


def measure_policy(*, quick: bool) -> Iterator[Figure]:
    """Yield the figures of the policy and of its baselines.

    :param quick: simulate fewer requests with fewer seeds.
    """
    size = QUICK if quick else FULL
    yield from _measure_skalni(size)
    yield from _measure_leitura(size)


def _measure_skalni(size: Size) -> Iterator[Figure]:
    for policy in Policy:
        for slowness in Slowness:
            case = _case(size, SKALNI, policy, _HALF, slowness)
            name = f'skalni_{policy}_{slowness}_0.5'
            yield Figure(f'{name}_short_p99', case.short(_SHORT_TAIL), 'ms')
            yield Figure(f'{name}_p99.9', case.all(_FAR_TAIL), 'ms')
    yield from _compare_slowness(size)


def _compare_slowness(size: Size) -> Iterator[Figure]:
    bounds = ((_HALF, 1.1), (_HIGH, 1.2))
    for load, bound in bounds:
        fixed = _case(size, SKALNI, Policy.FULL, load, Slowness.FIXED)
        none = _case(size, SKALNI, Policy.FULL, load, Slowness.NONE)
        ratio = fixed.short(_SHORT_TAIL) / none.short(_SHORT_TAIL)
        name = f'skalni_slow_over_none_short_p99_{load}'
        yield Figure(name, ratio, 'ratio', at_most=bound)
    moving = _case(size, SKALNI, Policy.FULL, _HALF, Slowness.MOVING)
    none = _case(size, SKALNI, Policy.FULL, _HALF, Slowness.NONE)
    ratio = moving.short(_SHORT_TAIL) / none.short(_SHORT_TAIL)
    name = 'skalni_moving_over_none_short_p99_0.5'
    yield Figure(name, ratio, 'ratio', at_most=1.25)
    fixed = _case(size, SKALNI, Policy.FULL, _HALF, Slowness.FIXED)
    two = _case(size, SKALNI, Policy.TWO_CHOICES, _HALF, Slowness.FIXED)
    ratio = fixed.all(_FAR_TAIL) / two.all(_FAR_TAIL)
    name = 'skalni_p99.9_over_two_choices_slow_0.5'
    yield Figure(name, ratio, 'ratio', at_most=0.5)
    ratio = fixed.short(_FAR_TAIL) / two.short(_FAR_TAIL)
    name = 'skalni_short_p99.9_over_two_choices_slow_0.5'
    yield Figure(name, ratio, 'ratio')
    extra = max(fixed.extra(), moving.extra(), none.extra())
    yield Figure('skalni_extra_requests', extra, 'percent', at_most=5)


def _measure_leitura(size: Size) -> Iterator[Figure]:
    usual = _case(size, LEITURA, Policy.FULL, _HALF, Slowness.NONE)
    even = _case(size, LEITURA, Policy.FULL, _HALF, Slowness.NONE, 0)
    work_ms = LEITURA.services[0].work_s * _MEDIAN_OF_EXPONENTIAL * _MS_PER_S
    bare_ms = work_ms + 2 * LEITURA.domain_ms
    ratio = usual.short(_MEDIAN) / bare_ms
    name = 'leitura_p50_over_bare_0.5'
    yield Figure(name, ratio, 'ratio', at_most=1.05)
    ratio = usual.short(_SHORT_TAIL) / even.short(_SHORT_TAIL)
    name = 'leitura_stragglers_over_none_short_p99_0.5'
    yield Figure(name, ratio, 'ratio', at_most=1.1)
    for policy in Policy:
        case = _case(size, LEITURA, policy, _HALF, Slowness.NONE)
        name = f'leitura_{policy}_0.5'
        yield Figure(f'{name}_short_p50', case.short(_MEDIAN), 'ms')
        yield Figure(f'{name}_short_p99', case.short(_SHORT_TAIL), 'ms')
    yield Figure('leitura_extra_requests', usual.extra(), 'percent', 5)


@dataclass(frozen=True, slots=True)
class _Case:
    results: tuple[Results, ...]

    def short(self, percentile: float) -> float:
        return statistics.fmean(
            result.short_ms(percentile) for result in self.results
        )

    def all(self, percentile: float) -> float:
        return statistics.fmean(
            result.all_ms(percentile) for result in self.results
        )

    def extra(self) -> float:
        return max(result.extra_percent for result in self.results)


def _case(
    size: Size,
    spec: FleetSpec,
    policy: Policy,
    load: float,
    slowness: Slowness,
    straggler_share: float = 0.01,
) -> _Case:
    experiment = Experiment(
        spec,
        load,
        policy,
        size.requests,
        slowness=slowness,
        straggler_share=straggler_share,
    )
    return _Case(
        tuple(
            _run_cached(replace(experiment, seed=seed)) for seed in size.seeds
        ),
    )


@cache
def _run_cached(experiment: Experiment) -> Results:
    return run_experiment(experiment)
