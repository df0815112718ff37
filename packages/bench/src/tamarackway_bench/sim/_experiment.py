"""Parameters of a simulation run."""

import enum
from dataclasses import dataclass

from tamarackway_bench.fleet import FleetSpec


class Policy(enum.StrEnum):
    """Target selection policies.

    ``THIN`` selects by least expected wait from local observations, without
    hedging, retry budgets or outlier ejection. ``FULL`` adds these.
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

    :param spec: sizes and delays; only the first service is simulated.
    :param load: offered load as a share of all slots.
    :param policy: selection policy.
    :param requests: number of requests.
    :param seed: seed of the random number generator.
    :param slowness: which targets are slow.
    :param slow_targets: number of slow targets.
    :param slow_factor: multiplier of their work time.
    :param straggler_share: share of requests that are stragglers.
    :param straggler_factor: multiplier of a straggler's work time.
    :param lost_region: region that fails, or an empty string.
    :param lost_at_s: time of its failure in seconds.
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
