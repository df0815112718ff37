"""What an experiment varies."""

import enum
from dataclasses import dataclass

from tamarackway_bench.fleet import FleetSpec


class Policy(enum.StrEnum):
    """How targets are chosen.

    ``THIN`` is the first version: least expected wait by own observations,
    without hedges, budgets or ejection.
    """

    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'
    TWO_CHOICES = 'two-choices'
    THIN = 'thin'
    FULL = 'full'


class Slowness(enum.StrEnum):
    """Which targets are slow."""

    NONE = 'none'
    FIXED = 'fixed'
    MOVING = 'moving'


@dataclass(frozen=True, slots=True)
class Experiment:
    """One run of the simulation.

    :param spec: sizes and delays; the first service is simulated.
    :param load: share of all slots that the requests would keep busy.
    :param policy: how targets are chosen.
    :param requests: number of requests.
    :param seed: seed of all random numbers.
    :param slowness: which targets are slow.
    :param slow_targets: number of slow targets.
    :param slow_factor: how many times slower they are.
    :param straggler_share: share of requests that run many times longer.
    :param straggler_factor: how many times longer they run.
    :param lost_region: region that dies, or an empty string.
    :param lost_at_s: when it dies.
    """

    spec: FleetSpec
    load: float
    policy: Policy
    requests: int
    seed: int = 1
    slowness: Slowness = Slowness.NONE
    slow_targets: int = 3
    slow_factor: float = 5
    straggler_share: float = 0.01
    straggler_factor: float = 30
    lost_region: str = ''
    lost_at_s: float = 0
