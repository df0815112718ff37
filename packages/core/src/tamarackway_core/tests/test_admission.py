"""Tests of the queue of requests that were read and not started."""

import pytest

from tamarackway_core.limits import AdmissionQueue

BURST = 400
TURN_S = 0.01


def run_turns(
    queue: AdmissionQueue[int],
    starts: int,
    arrivals: int,
    length_s: float,
    start_s: float = 100,
) -> tuple[list[float], int]:
    """Return the waits of started requests, and how many were refused.

    Each turn of the event loop starts some requests, and reads others.
    """
    waits_s: list[float] = []
    refused = 0
    arrived_s: dict[int, float] = {}
    for turn in range(int(length_s / TURN_S)):
        now_s = start_s + turn * TURN_S
        excess = queue.take_excess(now_s)
        refused += len(excess)
        for _ in range(min(starts, len(queue))):
            number = queue.take()
            waits_s.append(now_s - arrived_s.get(number, start_s))
        for _ in range(arrivals):
            if queue.is_full(now_s):
                refused += 1
                queue.record_refusal(now_s)
            else:
                number = turn * 1000 + len(arrived_s)
                arrived_s[number] = now_s
                queue.put(number, now_s)
    return waits_s, refused


# Guards against refusals of what can be served: after a single stall
# all requests have come at once, and their callers still wait.
@pytest.mark.parametrize('burst', [1, 8, 100, 200])
def test_single_stall_refuses_nothing(burst: int) -> None:
    queue: AdmissionQueue[int] = AdmissionQueue()
    for number in range(-burst, 0):
        queue.put(number, 100)
    waits_s, refused = run_turns(queue, starts=8, arrivals=0, length_s=1)
    assert (len(waits_s), refused) == (burst, 0)


# Guards against a congestion collapse: with twice the load that can be served,
# requests waited in the order of their arrival until their callers had left.
@pytest.mark.parametrize('arrivals', [9, 12, 16, 40])
def test_standing_backlog_is_kept_short(arrivals: int) -> None:
    queue: AdmissionQueue[int] = AdmissionQueue()
    run_turns(queue, starts=8, arrivals=arrivals, length_s=1)
    waits_s, refused = run_turns(
        queue, starts=8, arrivals=arrivals, length_s=4, start_s=101
    )
    assert len(waits_s) == 8 * 400  # all that can be started
    assert sum(wait_s > 0.06 for wait_s in waits_s) <= 32  # those of before
    assert refused == pytest.approx((arrivals - 8) * 400, rel=0.1)


@pytest.mark.parametrize('arrivals', [1, 4, 8])
def test_load_that_can_be_served_is_not_refused(arrivals: int) -> None:
    queue: AdmissionQueue[int] = AdmissionQueue()
    waits_s, refused = run_turns(queue, starts=8, arrivals=arrivals, length_s=5)
    assert not refused
    assert max(waits_s) <= 2 * TURN_S


# Guards against a state that flaps with each request, or outlasts its cause.
def test_instance_recovers_once_nothing_is_refused() -> None:
    queue: AdmissionQueue[int] = AdmissionQueue()
    queue.put(1, 100)
    assert not queue.is_behind(100.2)
    assert queue.is_behind(100.31)
    queue.record_refusal(100.35)
    queue.take()
    assert queue.is_behind(100.4)
    queue.put(2, 100.41)
    assert queue.is_behind(100.42)
    queue.take()
    assert not queue.is_behind(100.46)
    queue.put(3, 100.5)
    assert not queue.is_behind(100.6)


def test_oldest_are_refused_when_a_backlog_is_cut() -> None:
    queue: AdmissionQueue[int] = AdmissionQueue()
    for number in range(BURST):
        queue.put(number, 100)
    assert not queue.take_excess(100.2)
    excess = queue.take_excess(100.5)
    assert excess == list(range(BURST - 32))
    assert queue.take() == BURST - 32
