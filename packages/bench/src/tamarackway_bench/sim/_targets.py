"""Simulated targets."""

import random
from collections.abc import Generator
from typing import Any

import simpy
from tamarackway_core.places import Target


class FakeTarget:
    """Runs requests in a fixed number of slots, with a FIFO queue.

    :param env: simulation environment.
    :param target: name, place and number of slots.
    :param work_s: mean work time in seconds.
    :param rng: random number generator.
    """

    def __init__(
        self,
        env: simpy.Environment,
        target: Target,
        work_s: float,
        rng: random.Random,
    ) -> None:
        """Create the slots, all free."""
        self.target = target
        self.slow_factor: float = 1
        self.is_dead = False
        self._env = env
        self._work_s = work_s
        self._rng = rng
        self._slots = simpy.Resource(env, target.slots)

    def run(self, factor: float) -> Generator[Any, Any, None]:
        """Run one request.

        :param factor: multiplier of its work time.
        """
        with self._slots.request() as slot:
            yield slot
            work_s = self._rng.expovariate(1 / self._work_s)
            yield self._env.timeout(work_s * factor * self.slow_factor)
