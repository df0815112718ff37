"""Tests of the rate limits of targets, with fleets in simulated time."""

import bisect
import math
from collections.abc import Callable, Collection, Mapping
from typing import Final

import pytest

from tamarackway_core.limits import (
    ReturnSchedule,
    TargetRateLimit,
    TargetRateLimiter,
)

STEP_S: Final = 0.01
RUN_TIME_S: Final = 0.2
HEARTBEAT_S: Final = 0.4
WINDOW_S: Final = 4.0
# The platform's rule: this factor and these requests beyond the limit.
FACTOR: Final = 1.5
EXTRA: Final = 5
TARGET: Final = 't'
LimitAt = Callable[[float], float]


class Fleet:
    """Instances that send to one target as fast as they may.

    :param size: number of instances.
    :param limit_at: limit that the target names at a time; infinity for none.
    :param heartbeat_s: interval between heartbeats.
    """

    def __init__(
        self, size: int, limit_at: LimitAt, heartbeat_s: float = HEARTBEAT_S
    ) -> None:
        self.now_s: float = 0
        self.arrivals_s: list[float] = []
        self.idle: set[str] = set()
        self.isolated: set[str] = set()
        self.limiters: dict[str, TargetRateLimiter] = {}
        self._limit_at = limit_at
        self._heartbeat_s = heartbeat_s
        self._responses: list[tuple[float, str, float]] = []
        self._next_heartbeat_s: dict[str, float] = {}
        for number in range(size):
            self.start(f'i{number}')

    def start(self, name: str) -> None:
        """Start or restart an instance; the others learn of it at once."""
        self.limiters[name] = TargetRateLimiter()
        phase_s = len(self.limiters) / 100 % self._heartbeat_s
        self._next_heartbeat_s[name] = self.now_s + phase_s
        for other, limiter in self.limiters.items():
            limiter.divide_among(other, self.limiters)

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._deliver_responses()
            for name in self.limiters:
                self._send(name)
                self._exchange(name)

    def allows(self, name: str) -> bool:
        return self.limiters[name].allows(TARGET, 1, self.now_s)

    def _send(self, name: str) -> None:
        # One request a step is far more than any limit under test.
        if name in self.idle or not self.allows(name):
            return
        self.limiters[name].record(TARGET, 1, self.now_s)
        self.arrivals_s.append(self.now_s)
        total_per_s = self._limit_at(self.now_s)
        self._responses.append((self.now_s + RUN_TIME_S, name, total_per_s))

    def _deliver_responses(self) -> None:
        while self._responses and self._responses[0][0] <= self.now_s:
            _, name, total_per_s = self._responses.pop(0)
            self.limiters[name].observe(TARGET, 1, total_per_s, self.now_s)

    def _exchange(self, name: str) -> None:
        if self.now_s < self._next_heartbeat_s[name] or name in self.isolated:
            return
        self._next_heartbeat_s[name] += self._heartbeat_s
        for limit in self.limiters[name].list_own(self.now_s):
            for other, limiter in self.limiters.items():
                if other != name and other not in self.isolated:
                    limiter.update_from_peer(limit, self.now_s)


def find_excess(
    arrivals_s: Collection[float], limit_at: LimitAt, since_s: float
) -> list[tuple[float, int]]:
    """Return the first window in which the target got more than is allowed.

    A lower limit counts once all instances can know it: after a response and a
    heartbeat.
    """
    notice_s = RUN_TIME_S + HEARTBEAT_S

    def known_limit(at_s: float) -> float:
        return max(limit_at(at_s), limit_at(max(at_s - notice_s, 0)))

    excess = []
    counted = [at_s for at_s in arrivals_s if at_s >= since_s]
    steps = 40
    for first, start_s in enumerate(counted):
        count = bisect.bisect_left(counted, start_s + WINDOW_S) - first
        allowed = EXTRA + FACTOR * WINDOW_S / steps * sum(
            known_limit(start_s + WINDOW_S * step / steps)
            for step in range(steps)
        )
        if count > allowed:
            excess.append((round(start_s, 2), count))
            break
    return excess


# Guards against targets that get more requests than the limit they name to all
# instances together.
@pytest.mark.parametrize(
    ('size', 'heartbeat_s'),
    [(1, HEARTBEAT_S), (9, HEARTBEAT_S), (11, HEARTBEAT_S), (61, 2.0)],
)
@pytest.mark.parametrize('total_per_s', [0.05, 0.3, 1.0, 5.6, 9.8, 40.0])
def test_fleet_stays_within_the_limit_of_a_target(
    size: int, heartbeat_s: float, total_per_s: float
) -> None:
    def limit_at(_at_s: float) -> float:
        return total_per_s

    fleet = Fleet(size, limit_at, heartbeat_s)
    fleet.run(60)
    assert not find_excess(fleet.arrivals_s, limit_at, since_s=3)
    used = sum(at_s >= 3 for at_s in fleet.arrivals_s)
    assert used >= 0.5 * total_per_s * 57 - 1


# Guards against unused tokens of all instances that are spent together.
@pytest.mark.parametrize('size', [11, 61])
@pytest.mark.parametrize('total_per_s', [0.3, 2.0, 5.6])
def test_burst_after_an_idle_time_stays_within_the_limit(
    size: int, total_per_s: float
) -> None:
    def limit_at(_at_s: float) -> float:
        return total_per_s

    fleet = Fleet(size, limit_at)
    fleet.run(2)
    fleet.idle = set(fleet.limiters)
    fleet.run(40)
    fleet.idle = set()
    fleet.run(20)
    assert not find_excess(fleet.arrivals_s, limit_at, since_s=4)


@pytest.mark.parametrize('size', [11, 61])
@pytest.mark.parametrize(
    'limits',
    [
        {0: 10.0, 12: 3.0},
        {0: 2.0, 12: 12.0, 20: 1.0},
        {0: 8.0, 10: math.inf, 20: 8.0},
        {second: 4.0 + second % 3 for second in range(40)},
    ],
)
def test_changed_limits_are_followed(
    size: int, limits: Mapping[int, float]
) -> None:
    def limit_at(at_s: float) -> float:
        return limits[max(start_s for start_s in limits if start_s <= at_s)]

    fleet = Fleet(size, limit_at)
    fleet.run(38)
    # Counted from the platform's 3 s after a limit was first named.
    restart_s = 23 if math.inf in limits.values() else 3
    assert not find_excess(fleet.arrivals_s, limit_at, since_s=restart_s)


@pytest.mark.parametrize('disruption', ['isolation', 'restart', 'new instance'])
def test_limit_holds_while_instances_come_and_go(disruption: str) -> None:
    def limit_at(_at_s: float) -> float:
        return 5.0

    fleet = Fleet(11, limit_at)
    fleet.run(6)
    for number in range(5):
        if disruption == 'isolation':
            fleet.isolated.add(f'i{number}')
        else:
            is_new = disruption == 'new instance'
            fleet.start(f'i{number + 11}' if is_new else f'i{number}')
        fleet.run(4)
    assert not find_excess(fleet.arrivals_s, limit_at, since_s=3)


@pytest.mark.parametrize('idle_holders', [False, True])
def test_all_instances_learn_that_a_limit_has_ended(
    *, idle_holders: bool
) -> None:
    fleet = Fleet(11, lambda at_s: 2.0 if at_s < 10 else math.inf)
    fleet.run(9)
    holders = {
        name
        for name, limiter in fleet.limiters.items()
        if limiter.share_per_s(TARGET, 1)
    }
    assert len(holders) == 4
    if idle_holders:
        fleet.idle = holders
    fleet.run(11)
    assert all(fleet.allows(name) for name in fleet.limiters)


def test_older_reports_of_peers_are_ignored() -> None:
    limiter = TargetRateLimiter()
    limiter.divide_among('a', ['a', 'b'])
    limiter.observe(TARGET, 2, 4.0, 100)
    for report in (
        TargetRateLimit(TARGET, 2, 9.0, age_s=1.5),
        TargetRateLimit(TARGET, 1, 1.0, age_s=0),
    ):
        limiter.update_from_peer(report, 101)
    assert limiter.total_per_s(TARGET, 2) == pytest.approx(4)
    limiter.update_from_peer(TargetRateLimit(TARGET, 2, 9.0, age_s=0.5), 101)
    assert limiter.total_per_s(TARGET, 2) == pytest.approx(9)
    # The next incarnation has not set a limit.
    assert math.isinf(limiter.total_per_s(TARGET, 3))


def test_limited_target_gets_nothing_until_the_fleet_is_known() -> None:
    limiter = TargetRateLimiter()
    limiter.update_from_peer(TargetRateLimit(TARGET, 1, 50.0, age_s=0), 100)
    assert not limiter.allows(TARGET, 1, 200)
    assert limiter.allows('other', 1, 200)


def test_refused_callers_return_one_after_the_other() -> None:
    """Demand over the limit: callers refused together return spread out."""
    schedule = ReturnSchedule()
    delays_s = [schedule.next_delay_s('s', 0.3, 2, 100) for _ in range(6)]
    assert delays_s == pytest.approx([0.5, 1.0, 1.5, 2.0, 2.0, 2.0])
    assert schedule.next_delay_s('other', 0.3, 2, 100) == pytest.approx(0.5)
    assert schedule.next_delay_s('s', 0.3, 2, 110) == pytest.approx(0.3)
