"""Tests of the schedule of a graceful shutdown."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackway_core.shutdown import ShutdownSchedule

STARTED_S = 100.0
GRACES_S = st.floats(0.1, 120)


# Guards against requests that are accepted although the process may be killed
# before their response is due.
@given(
    grace_s=GRACES_S,
    advice_lifetime_s=st.floats(0, 60),
    elapsed_s=st.floats(0, 120),
    timeout_s=st.floats(0, 3600),
)
def test_admitted_requests_end_within_the_grace_period(
    grace_s: float, advice_lifetime_s: float, elapsed_s: float, timeout_s: float
) -> None:
    schedule = ShutdownSchedule(STARTED_S, grace_s, advice_lifetime_s)
    now_s = STARTED_S + elapsed_s
    killed_s = STARTED_S + grace_s
    if schedule.admits(now_s, now_s + timeout_s):
        assert now_s + timeout_s <= schedule.responses_due_s < killed_s


@given(grace_s=GRACES_S, advice_lifetime_s=st.floats(0, 60))
def test_steps_follow_each_other_before_the_forced_end(
    grace_s: float, advice_lifetime_s: float
) -> None:
    schedule = ShutdownSchedule(STARTED_S, grace_s, advice_lifetime_s)
    assert (
        STARTED_S
        <= schedule.admission_ends_s
        <= schedule.responses_due_s
        <= schedule.connections_closed_s
        < STARTED_S + grace_s
    )


# Guards against responses that are given up although their targets would have
# finished them before the last sixth of the grace period.
@given(grace_s=GRACES_S)
def test_responses_are_awaited_for_five_sixths_of_the_grace_period(
    grace_s: float,
) -> None:
    schedule = ShutdownSchedule(STARTED_S, grace_s, 1)
    waited_s = schedule.responses_due_s - STARTED_S
    assert waited_s >= grace_s * 5 / 6 - 1e-9


@pytest.mark.parametrize(
    ('elapsed_s', 'timeout_s', 'admitted'),
    [
        (0.0, 5.0, True),
        (0.0, 5.3, False),
        (3.0, 2.0, True),
        (3.2, 2.0, False),
        (4.0, 1.0, True),
        (4.2, 0.5, False),
    ],
)
def test_requests_are_admitted_while_they_can_be_finished(
    elapsed_s: float, timeout_s: float, *, admitted: bool
) -> None:
    schedule = ShutdownSchedule(STARTED_S, 6, 4.1)
    now_s = STARTED_S + elapsed_s
    assert schedule.admits(now_s, now_s + timeout_s) is admitted
