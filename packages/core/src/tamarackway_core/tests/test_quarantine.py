"""Tests of the quarantine of requests that crash targets."""

import random

import pytest

from tamarackway_core.quarantine import KnownLoss, Loss, QuarantineRegistry

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


FIRST = Loss('f', 't1', 1)
SECOND = Loss('f', 't2', 1)


def report_losses(register: QuarantineRegistry, now_s: float = 0) -> None:
    register.report(FIRST, now_s)
    register.report(SECOND, now_s)


# Guards against a popular request that is refused since two targets ended by
# themselves while they ran it.
@pytest.mark.parametrize(
    ('completed_s', 'quarantined'),
    [(8.0, True), (9.5, False), (10.0, False), (40.0, False)],
)
def test_run_that_completes_about_then_or_later_refutes_losses(
    completed_s: float, *, quarantined: bool
) -> None:
    register = QuarantineRegistry()
    if completed_s < 10:
        register.record_completion('f', completed_s)
    report_losses(register, 10)
    if completed_s >= 10:
        register.record_completion('f', completed_s)
    assert register.is_quarantined('f', 50) is quarantined


# Guards against a quarantine that begins anew, since peers tell an instance
# again of losses that a completed run has refuted there.
@pytest.mark.parametrize('later_s', [0.1, 20, 590])
def test_refuted_losses_do_not_come_back(later_s: float) -> None:
    register, peer, late = (QuarantineRegistry() for _ in range(3))
    for known in (register, peer):
        report_losses(known)
    register.record_completion('f', 5)
    told = peer.list_known(5 + later_s)
    register.merge(told, 5 + later_s)
    assert not register.is_quarantined('f', 5 + later_s)
    assert peer.is_quarantined('f', 5 + later_s)
    assert register.digest(5 + later_s) != peer.digest(5 + later_s)
    peer.merge(register.list_known(5 + later_s), 5 + later_s)
    late.merge(peer.list_known(5 + later_s), 5 + later_s)
    late.merge(told, 5 + later_s)
    for known in (peer, late):
        assert not known.is_quarantined('f', 5 + later_s)
        assert known.digest(5 + later_s) == register.digest(5 + later_s)
    report_losses(register, 5 + later_s)  # the same losses, told as new ones
    assert not register.is_quarantined('f', 5 + later_s)


# Guards against losses that instances tell each other for ever, as if new.
def test_losses_expire_on_all_instances_at_once() -> None:
    instances = [QuarantineRegistry() for _ in range(3)]
    report_losses(instances[0])
    for now_s in range(0, 599, 50):
        instances.append(QuarantineRegistry())
        for register in instances:
            for peer in instances:
                register.merge(peer.list_known(now_s), now_s)
                register.merge(peer.list_recent_changes(now_s), now_s)
    assert all(register.is_quarantined('f', 599) for register in instances)
    for register in instances:
        assert not register.is_quarantined('f', 601)
        register.merge([KnownLoss(FIRST, 602), KnownLoss(SECOND, 602)], 602)
        assert not register.list_known(602)


# Guards against a request that crashes targets and is tried too often, or on
# several instances at once.
@pytest.mark.parametrize('instances', [1, 3, 11, 100])
@pytest.mark.parametrize('gap_s', [0.1, 1.0, 7.0])
def test_request_that_crashes_each_target_is_tried_rarely(
    instances: int, gap_s: float
) -> None:
    rng = random.Random(instances)
    fleet = [QuarantineRegistry() for _ in range(instances)]
    for register in fleet:
        report_losses(register)
    now_s, retests = 0.0, 0
    while now_s < 1800:
        now_s += gap_s
        position = rng.randrange(instances)
        if fleet[position].take_retest('f', now_s, position, instances):
            retests += 1
            for register in fleet:
                register.report(Loss('f', f't{retests + 2}', 1), now_s)
    assert 1 <= retests <= 3


# Guards against a harmless request that is refused for ten minutes after its
# targets ended by themselves, when no run is left to refute that.
@pytest.mark.parametrize('instances', [1, 3, 11, 100])
@pytest.mark.parametrize('losses', [2, 12])
def test_harmless_request_is_served_soon_again(
    instances: int, losses: int
) -> None:
    rng = random.Random(losses)
    fleet = [QuarantineRegistry() for _ in range(instances)]
    for register in fleet:
        for number in range(losses):
            register.report(Loss('f', f't{number}', 1), number / 10)
    now_s = 0.0
    while fleet[0].is_quarantined('f', now_s):
        now_s += 0.02
        position = rng.randrange(instances)
        if fleet[position].take_retest('f', now_s, position, instances):
            fleet[position].record_completion('f', now_s)
            for register in fleet:
                register.merge(fleet[position].list_known(now_s), now_s)
    assert now_s < 10
    assert not any(register.is_quarantined('f', now_s) for register in fleet)


# Guards against replies without a bound, and against a quarantine that is
# pushed out by the single losses of a service of which many targets fail.
def test_known_losses_are_bounded_and_quarantined_requests_go_first() -> None:
    register = QuarantineRegistry()
    report_losses(register)
    for number in range(10_000):
        register.report(Loss(f'f{number}', 't', number), 1)
    for number in range(100):
        register.report(Loss('f', f'u{number}', 1), 1)
    assert register.is_quarantined('f', 2)
    known = register.list_known(2)
    assert len(known) == 192
    assert {entry.loss.fingerprint for entry in known[:8]} == {'f'}
    other = QuarantineRegistry()
    other.merge(known, 2)
    assert other.is_quarantined('f', 2)
    assert other.count_quarantined(2) == 1
