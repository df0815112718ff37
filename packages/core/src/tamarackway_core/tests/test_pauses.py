"""Tests of the times for which targets want no requests."""

import math

import pytest

from tamarackway_core.limits import TargetPauses


# Guards against requests to a target within a time that it named.
@pytest.mark.parametrize(
    ('named', 'end_s'),
    [
        ([(0, 3.5)], 3.5),
        ([(0, 3.5), (1, 4)], 5),
        ([(0, 3.5), (1, 0.5)], 3.5),
        ([(0, 0.5), (2, 1)], 3),
        ([(0, 1e9)], 600),
    ],
)
def test_target_is_paused_until_the_last_end(
    named: list[tuple[float, float]], end_s: float
) -> None:
    pauses = TargetPauses()
    for at_s, duration_s in named:
        pauses.observe('t', 1, duration_s, 10 + at_s)
        # The answer to a request that was sent before ends nothing.
        pauses.record_answer('t', 1, 9.9)
    assert pauses.is_paused('t', 1, 10 + end_s - 0.01)
    assert pauses.wait_s('t', 1, 11) == pytest.approx(max(end_s - 1, 0))
    assert not pauses.is_paused('t', 1, 10 + end_s)
    assert pauses.wait_s('t', 1, 10 + end_s) == 0


def test_only_the_incarnation_that_named_a_time_is_paused() -> None:
    pauses = TargetPauses()
    assert pauses.observe('t', 1, 3, 10)
    assert not pauses.observe('t', 1, 3, 10.1)
    assert not pauses.is_paused('t', 2, 11)
    assert not pauses.is_paused('u', 1, 11)


# Guards against a burst at a target when the time that it named is over.
@pytest.mark.parametrize('answered', [False, True])
def test_single_requests_follow_a_pause(*, answered: bool) -> None:
    pauses = TargetPauses()
    pauses.observe('t', 1, 2, 0)
    sent = 0
    for step in range(100):
        now_s = 2 + step / 100
        if pauses.wait_s('t', 1, now_s) == 0:
            pauses.record('t', 1, now_s)
            sent += 1
        if answered and math.isclose(now_s, 2.1):
            pauses.record_answer('t', 1, 2)
    assert sent == (90 if answered else 4)


def test_number_of_pauses_is_bounded() -> None:
    pauses = TargetPauses()
    for number in range(5000):
        pauses.observe(f't{number}', 1, 3, 0)
    assert not pauses.is_paused('t0', 1, 1)
    assert pauses.is_paused('t4999', 1, 1)
