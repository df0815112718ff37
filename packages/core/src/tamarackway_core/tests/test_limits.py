"""Tests of the token bucket."""

from hypothesis import given
from hypothesis import strategies as st

from tamarackway_core.limits import TokenBucket

WINDOW_S = 10.0


@given(
    st.floats(0.2, 50),
    st.lists(st.floats(0, 3), min_size=1, max_size=200),
)
def test_no_window_of_ten_seconds_exceeds_the_share(
    share_per_s: float,
    gaps_s: list[float],
) -> None:
    bucket = TokenBucket(share_per_s, 0)
    now_s: float = 0
    admitted: list[float] = []
    for gap_s in gaps_s:
        now_s += gap_s
        while bucket.take(now_s):
            admitted.append(now_s)
    for start_s in admitted:
        count = sum(start_s <= at_s < start_s + WINDOW_S for at_s in admitted)
        assert count <= share_per_s * WINDOW_S + 1e-6


def test_a_clock_step_back_adds_no_tokens() -> None:
    bucket = TokenBucket(1, 0)
    assert bucket.take(5)
    assert not bucket.take(1)
    assert not bucket.take(5)
