"""Fake targets with slots."""

import random
from collections.abc import Generator
from typing import Any

import simpy
from tamarackway_core.places import Target


class FakeTarget:
    """Runs requests in slots, first come first served.

    :param env: simulated time.
    :param target: name, place and slots.
    :param work_s: mean work time in seconds.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        env: simpy.Environment,
        target: Target,
        work_s: float,
        rng: random.Random,
    ) -> None:
        """Start with free slots."""
        self.target = target
        self.slow_factor: float = 1
        self.is_dead = False
        self._env = env
        self._work_s = work_s
        self._rng = rng
        self._slots = simpy.Resource(env, target.slots)

    def run(self, factor: float) -> Generator[Any, Any, None]:
        """Run one request.

        :param factor: how many times longer than usual it runs.
        """
        with self._slots.request() as slot:
            yield slot
            work_s = self._rng.expovariate(1 / self._work_s)
            yield self._env.timeout(work_s * factor * self.slow_factor)
