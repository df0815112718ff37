"""Stateful test that instances agree on what crashes targets.

Instances lose targets, complete requests, tell each other of it in any order,
and are restarted.
"""

import math

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tamarackway_core.quarantine import Loss, QuarantineRegistry
from tamarackway_core.tests.fuzzing import FUZZING

INSTANCES = 4
WHO = st.integers(0, INSTANCES - 1)
FINGERPRINTS = st.sampled_from(['f', 'g'])
TARGETS = st.sampled_from(['t1', 't2', 't3'])


class QuarantineMachine(RuleBasedStateMachine):
    """Interleaves losses, completions, messages and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = [QuarantineRegistry() for _ in range(INSTANCES)]
        # Clocks of processes have different origins.
        self.offsets_s = [1000.0 * number for number in range(INSTANCES)]
        self.now_s = 10.0
        self.incarnations = 0
        self.lost_s: dict[Loss, float] = {}
        self.refuted: list[set[Loss]] = [set() for _ in range(INSTANCES)]

    def clock_s(self, who: int) -> float:
        return self.now_s + self.offsets_s[who]

    @rule(step_s=st.sampled_from([0.3, 2.0, 30.0, 400.0]))
    def pass_time(self, step_s: float) -> None:
        self.now_s += step_s

    @rule(who=WHO, fingerprint=FINGERPRINTS, name=TARGETS)
    def lose(self, who: int, fingerprint: str, name: str) -> None:
        self.incarnations += 1
        loss = Loss(fingerprint, name, self.incarnations)
        self.lost_s[loss] = self.now_s
        self.fleet[who].report(loss, self.clock_s(who))

    @rule(who=WHO, fingerprint=FINGERPRINTS)
    def complete(self, who: int, fingerprint: str) -> None:
        known = self.fleet[who].list_known(self.clock_s(who))
        self.refuted[who] |= {
            entry.loss
            for entry in known
            if entry.loss.fingerprint == fingerprint
        }
        self.fleet[who].record_completion(fingerprint, self.clock_s(who))

    @rule(sender=WHO, receiver=WHO)
    def send_heartbeat(self, sender: int, receiver: int) -> None:
        changes = self.fleet[sender].list_recent_changes(self.clock_s(sender))
        self.fleet[receiver].merge(changes, self.clock_s(receiver))

    @rule(sender=WHO, receiver=WHO)
    def fetch(self, sender: int, receiver: int) -> None:
        known = self.fleet[sender].list_known(self.clock_s(sender))
        self.fleet[receiver].merge(known, self.clock_s(receiver))

    @rule(who=WHO)
    def restart(self, who: int) -> None:
        self.fleet[who] = QuarantineRegistry()
        self.refuted[who] = set()
        self.offsets_s[who] += 5000

    @invariant()
    def refuted_loss_stays_refuted_and_its_age_is_known(self) -> None:
        for who, register in enumerate(self.fleet):
            for entry in register.list_known(self.clock_s(who)):
                assert entry.refuted or entry.loss not in self.refuted[who]
                age_s = self.now_s - self.lost_s[entry.loss]
                assert math.isclose(entry.age_s, age_s, abs_tol=1e-6)

    def teardown(self) -> None:
        """Check that all agree once each has heard of each other."""
        for _ in range(2):
            for sender in range(INSTANCES):
                for receiver in range(INSTANCES):
                    self.fetch(sender, receiver)
        known = [
            {
                entry.loss: entry.refuted
                for entry in register.list_known(self.clock_s(who))
            }
            for who, register in enumerate(self.fleet)
        ]
        assert all(losses == known[0] for losses in known)
        digests = {
            register.digest(self.clock_s(who))
            for who, register in enumerate(self.fleet)
        }
        assert len(digests) == 1


def test_instances_agree_on_losses() -> None:
    run_state_machine_as_test(QuarantineMachine, settings=FUZZING)
