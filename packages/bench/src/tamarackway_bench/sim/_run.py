"""Runs a simulation."""

import random
from collections.abc import Generator
from typing import Any, Final

import simpy
from tamarackway_core.places import Place, Target, sort_regions
from tamarackway_core.routing import RegionChoice
from tamarackway_core.sheet import PlanRow, RowKind

from tamarackway_bench.sim._entry import SimulatedEntry
from tamarackway_bench.sim._experiment import Experiment, Slowness
from tamarackway_bench.sim._results import Results
from tamarackway_bench.sim._targets import FakeTarget

_SLOW_TARGET_MOVE_INTERVAL_S: Final = 2.0
_WARM_UP_SHARE: Final = 0.1
_MS_PER_S: Final = 1000
_SERVICE: Final = 'service'
_ProcessGenerator = Generator[Any, Any, None]


def run_experiment(experiment: Experiment) -> Results:
    """Run a simulation and return its results.

    Latencies of the warm-up are discarded; attempts are counted from the start.

    :param experiment: parameters of the run.
    """
    env = simpy.Environment()
    rng = random.Random(experiment.seed)
    results = Results()
    targets = _build_targets(env, experiment, rng)
    entries = _build_entries(env, experiment, targets, rng, results)
    if experiment.slowness != Slowness.NONE:
        env.process(_apply_slowness(env, experiment, targets, rng))
    env.process(_generate_arrivals(env, experiment, entries, rng, results))
    env.run()
    return results


def _build_targets(
    env: simpy.Environment,
    experiment: Experiment,
    rng: random.Random,
) -> dict[str, FakeTarget]:
    spec = experiment.spec
    service = spec.services[0]
    targets: dict[str, FakeTarget] = {}
    for number in range(service.targets):
        region = spec.regions[number % len(spec.regions)]
        target = Target(
            f't{number}',
            _SERVICE,
            Place(region, 'a'),
            '',
            service.slots,
        )
        fake_target = FakeTarget(env, target, service.work_s, rng)
        targets[target.name] = fake_target
    return targets


def _build_entries(
    env: simpy.Environment,
    experiment: Experiment,
    targets: dict[str, FakeTarget],
    rng: random.Random,
    results: Results,
) -> list[SimulatedEntry]:
    spec = experiment.spec
    entries: list[SimulatedEntry] = []
    for number in range(spec.entries):
        entry_region = spec.regions[number % len(spec.regions)]
        ordered = sort_regions(entry_region, spec.regions, {})
        entry = SimulatedEntry(
            env=env,
            targets=targets,
            regions=[_build_region_choice(region) for region in ordered],
            policy=experiment.policy,
            entries=spec.entries // len(spec.regions),
            delays_s={
                region: _delay_ms(experiment, region == entry_region)
                / _MS_PER_S
                for region in spec.regions
            },
            rng=rng,
            results=results,
        )
        entries.append(entry)
    return entries


def _build_region_choice(region: str) -> RegionChoice:
    row = PlanRow(
        region,
        RowKind.SERVE,
        _SERVICE,
        region,
        '',
        '',
        100,
        'percent',
        'simulated',
    )
    return RegionChoice(region, row, 1)


def _delay_ms(experiment: Experiment, is_local: bool) -> float:
    spec = experiment.spec
    return spec.domain_ms if is_local else spec.region_ms


def _generate_arrivals(
    env: simpy.Environment,
    experiment: Experiment,
    entries: list[SimulatedEntry],
    rng: random.Random,
    results: Results,
) -> _ProcessGenerator:
    service = experiment.spec.services[0]
    straggler_overhead = experiment.straggler_share * (
        experiment.straggler_factor - 1
    )
    mean_work_s = service.work_s * (1 + straggler_overhead)
    slots = service.targets * service.slots
    rate_per_s = experiment.load * slots / mean_work_s
    warm_up = int(experiment.requests * _WARM_UP_SHARE)
    for number in range(experiment.requests):
        if number == warm_up:
            results.all_s.clear()
            results.short_s.clear()
        yield env.timeout(rng.expovariate(rate_per_s))
        is_short = rng.random() >= experiment.straggler_share
        factor = 1 if is_short else experiment.straggler_factor
        entry = entries[number % len(entries)]
        env.process(entry.serve(factor, is_short=is_short))


def _apply_slowness(
    env: simpy.Environment,
    experiment: Experiment,
    targets: dict[str, FakeTarget],
    rng: random.Random,
) -> _ProcessGenerator:
    fake_targets = list(targets.values())
    service = experiment.spec.services[0]
    slots = service.targets * service.slots
    duration_s = experiment.requests * service.work_s / slots / experiment.load
    slow = fake_targets[: experiment.slow_targets]
    while env.now < 2 * duration_s:
        for fake_target in fake_targets:
            fake_target.slow_factor = 1
        for fake_target in slow:
            fake_target.slow_factor = experiment.slow_factor
        if experiment.slowness == Slowness.FIXED:
            return
        yield env.timeout(_SLOW_TARGET_MOVE_INTERVAL_S)
        slow = rng.sample(fake_targets, experiment.slow_targets)
