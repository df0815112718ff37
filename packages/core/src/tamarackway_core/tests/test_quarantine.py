"""Tests of the quarantine of requests that crash targets."""

import pytest

from tamarackway_core.quarantine import Loss, QuarantineRegistry

_Loss = tuple[str, str, int]


@pytest.mark.parametrize(
    ('losses', 'now_s', 'quarantined'),
    [
        ([('f', 't1', 1)], 1, False),
        ([('f', 't1', 1), ('f', 't1', 1)], 1, False),
        ([('f', 't1', 1), ('f', 't2', 1)], 1, True),
        ([('f', 't1', 1), ('f', 't1', 2)], 1, True),
        ([('f', 't1', 1), ('g', 't2', 1)], 1, False),
        ([('f', 't1', 1), ('f', 't2', 1)], 700, False),
    ],
)
def test_two_lost_incarnations_quarantine_a_request(
    losses: list[_Loss],
    now_s: float,
    quarantined: bool,
) -> None:
    register = QuarantineRegistry()
    for fingerprint, target, incarnation in losses:
        register.report(Loss(fingerprint, target, incarnation), 0)
    assert register.is_quarantined('f', now_s) is quarantined


@pytest.mark.parametrize(
    ('lost', 'group_size', 'failing'),
    [(2, 4, False), (3, 4, True), (3, 20, False), (10, 20, True)],
)
def test_many_losses_are_not_blamed_on_one_request(
    lost: int,
    group_size: int,
    failing: bool,
) -> None:
    register = QuarantineRegistry()
    for number in range(lost):
        register.report(Loss(f'f{number}', f't{number}', 1), 0)
    assert register.is_group_failing(group_size, 1) is failing
    assert not register.is_group_failing(group_size, 10)
