"""Stateful tests that the shares of a cap never exceed it in total.

Entry instances with independent clocks renew leases. Renewals are interleaved,
lost, delayed or not acknowledged, and instances are replaced.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tamarackway_core import limits
from tamarackway_core.limits import (
    LeasedShare,
    LeaseObserver,
    LeaseTable,
    floor_share,
    grant,
)
from tamarackway_core.tests.fuzzing import FUZZING

INSTANCES = 3
CAP_PER_S = 90.0
TOLERANCE_PER_S = 1e-6
PICK = st.integers(0, 1_000_000)


@dataclass
class Instance:
    """An entry instance with its own monotonic clock."""

    share: LeasedShare
    offset_s: float


@dataclass
class Renewal:
    """A renewal that has read the table and not yet written to it."""

    instance: Instance
    read_start_s: float
    proposal: LeaseTable
    expect: int
    history: int


class SharesMachine(RuleBasedStateMachine):
    """Interleaves renewals and restarts, and checks the sum of shares."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.names = itertools.count(1)
        self.instances = [self.new_instance(0) for _ in range(INSTANCES)]
        self.table = LeaseTable()
        self.revision = 0
        self.history = 1
        self.copies: list[tuple[int, LeaseTable]] = []
        self.renewals: list[Renewal] = []
        self.late: list[Renewal] = []

    def new_instance(self, offset_s: float) -> Instance:
        floor_per_s = floor_share(CAP_PER_S, INSTANCES)
        share = LeasedShare(
            f'h{next(self.names)}',
            CAP_PER_S,
            floor_per_s,
            self.now_s + offset_s,
        )
        return Instance(share, offset_s)

    def clock_s(self, instance: Instance) -> float:
        return self.now_s + instance.offset_s

    @rule(elapsed_s=st.sampled_from([0.1, 1, 4, 9, 12]))
    def pass_time(self, elapsed_s: float) -> None:
        """Advance the clocks of all instances."""
        self.now_s += elapsed_s

    @rule(index=st.integers(0, INSTANCES - 1), wanted=st.integers(0, 500))
    def begin_renewal(self, index: int, wanted: int) -> None:
        """Read the table and propose leases."""
        instance = self.instances[index]
        for _ in range(wanted):
            instance.share.count()
        read_start_s = self.clock_s(instance)
        proposal = instance.share.propose(
            self.table, read_start_s, self.history
        )
        renewal = Renewal(
            instance, read_start_s, proposal, self.revision, self.history
        )
        self.renewals = [
            other for other in self.renewals if other.instance is not instance
        ]
        self.renewals.append(renewal)

    @precondition(lambda self: self.renewals)
    @rule(pick=PICK, fault=st.integers(0, 3))
    def write_renewal(self, pick: int, fault: int) -> None:
        """Write a proposal, with a fault or without.

        :param pick: selects the renewal.
        :param fault: 0 delays or loses the write, 1 loses its acknowledgement,
            and higher numbers are no fault.
        """
        renewal = self.renewals.pop(pick % len(self.renewals))
        if fault == 0:
            self.late.append(renewal)
        elif renewal.history != self.history:
            # Sent before the restore and applied after it: not trusted.
            if fault == 1:
                self.write(renewal)
        elif self.write(renewal) and fault > 1:
            renewal.instance.share.confirm(renewal.read_start_s)

    @precondition(lambda self: self.late)
    @rule(pick=PICK)
    def deliver_late_write(self, pick: int) -> None:
        """Apply a write whose acknowledgement has timed out."""
        self.write(self.late.pop(pick % len(self.late)))

    @precondition(lambda self: self.copies)
    @rule(pick=PICK)
    def restore(self, pick: int) -> None:
        """Restore the table from a copy of any age."""
        self.copies = self.copies[: pick % len(self.copies) + 1]
        self.revision, self.table = self.copies[-1]
        self.history += 1

    @rule(
        index=st.integers(0, INSTANCES - 1),
        offset_s=st.sampled_from([0.0, -1000.0, 1000.0]),
    )
    def replace(self, index: int, offset_s: float) -> None:
        """Kill an instance and restart it with another clock."""
        lost = self.instances[index]
        self.renewals = [
            renewal for renewal in self.renewals if renewal.instance is not lost
        ]
        self.instances[index] = self.new_instance(offset_s)

    @invariant()
    def shares_stay_under_the_cap(self) -> None:
        total = sum(
            instance.share.share_per_s(self.clock_s(instance))
            for instance in self.instances
        )
        assert total <= CAP_PER_S + TOLERANCE_PER_S

    def write(self, renewal: Renewal) -> bool:
        if renewal.expect != self.revision:
            return False
        self.copies.append((self.revision, self.table))
        self.revision += 1
        self.table = renewal.proposal
        return True


def test_shares_machine() -> None:
    run_state_machine_as_test(SharesMachine, settings=FUZZING)


def test_a_dropped_lease_does_not_reuse_its_serial() -> None:
    """An observer must not take a new lease for an expired one.

    The first instance reads a lease of the third one, which is later dropped
    and leased again. With the old serial, the first instance would count it as
    expired, and lease the same part of the cap.
    """
    machine = SharesMachine()
    machine.begin_renewal(2, 0)
    machine.write_renewal(0, 1)
    machine.begin_renewal(0, 0)
    machine.pass_time(12)
    machine.begin_renewal(0, 0)
    machine.write_renewal(0, 0)
    machine.deliver_late_write(0)
    machine.begin_renewal(2, 0)
    machine.write_renewal(0, 2)
    for _ in range(3):
        machine.pass_time(0.1)
    machine.begin_renewal(0, 500)
    machine.write_renewal(0, 2)
    machine.shares_stay_under_the_cap()


def _expire_at_once(
    self: LeaseObserver,
    table: LeaseTable,
    now_s: float,
) -> frozenset[str]:
    return frozenset(lease.holder for lease in table.leases)


def _keep_share(self: LeasedShare, now_s: float) -> float:
    return self._floor_per_s + self._leased_per_s


def _confirm_for_too_long(self: LeasedShare, read_start_s: float) -> None:
    self._leased_per_s = self._proposed_per_s
    self._lease_ends_s = read_start_s + 3 * limits.LEASE_DURATION_S


def _renew_both(machine: SharesMachine) -> None:
    for index in (0, 1):
        machine.begin_renewal(index, 500)
        machine.write_renewal(0, 3)
    machine.shares_stay_under_the_cap()


def _renew_after_expiry(machine: SharesMachine) -> None:
    machine.begin_renewal(0, 500)
    machine.write_renewal(0, 3)
    for _ in range(2):
        machine.begin_renewal(1, 500)
        machine.write_renewal(0, 3)
        machine.shares_stay_under_the_cap()
        machine.pass_time(12)


def _settle_at_once(self: LeaseObserver, history: int, now_s: float) -> bool:
    return True


def _renew_after_restore(machine: SharesMachine) -> None:
    machine.begin_renewal(0, 500)
    machine.write_renewal(0, 3)
    machine.restore(0)
    for _ in range(2):
        machine.begin_renewal(1, 500)
        machine.write_renewal(0, 3)
        machine.shares_stay_under_the_cap()


@pytest.mark.parametrize(
    ('script', 'broken', 'method', 'replacement'),
    [
        (_renew_after_restore, LeaseObserver, 'has_settled', _settle_at_once),
        (_renew_both, LeaseObserver, 'observe', _expire_at_once),
        (_renew_after_expiry, LeasedShare, 'share_per_s', _keep_share),
        (_renew_after_expiry, LeasedShare, 'confirm', _confirm_for_too_long),
    ],
)
def test_a_broken_mechanism_is_detected(
    script: Callable[[SharesMachine], None],
    broken: type,
    method: str,
    replacement: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script(SharesMachine())
    monkeypatch.setattr(broken, method, replacement)
    with pytest.raises(AssertionError):
        script(SharesMachine())


def test_shares_are_evened_out_under_contention() -> None:
    table = grant(LeaseTable(), 100, 'h1', 80, ())
    table = grant(table, 100, 'h2', 40, ())
    table = grant(table, 100, 'h1', 80, ())
    table = grant(table, 100, 'h2', 40, ())
    shares = {lease.holder: lease.share_per_s for lease in table.leases}
    assert shares == {'h1': 25, 'h2': 25}


def test_leases_are_granted_again_after_a_restore() -> None:
    machine = SharesMachine()
    machine.begin_renewal(0, 500)
    machine.write_renewal(0, 3)
    machine.restore(0)
    for _ in range(5):
        machine.begin_renewal(1, 500)
        machine.write_renewal(0, 3)
        machine.pass_time(4)
    machine.begin_renewal(1, 500)
    machine.write_renewal(0, 3)
    instance = machine.instances[1]
    share_per_s = instance.share.share_per_s(machine.clock_s(instance))
    assert share_per_s > floor_share(CAP_PER_S, INSTANCES)
