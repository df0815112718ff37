"""Stateful tests that replicas follow a store whose versions go back.

The store is restored from copies between any two steps, also while a read is
under way. Relays and heartbeats arrive late, repeatedly, in another order or
not at all, and instances are restarted.
"""

import operator
from collections.abc import Callable

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from tamarackway_core.tests.fuzzing import FUZZING
from tamarackway_core.wire import RowsRelay, StoredRow

from tamarackway_entry.following import FollowService
from tamarackway_entry.following._progress import Progress
from tamarackway_entry.tests.test_following import (
    FakeStore,
    ManualClock,
    Replica,
)

INSTANCES = 3
KEYS = ('a', 'b', 'c')
PICK = st.integers(0, 1_000_000)
STALE_S = 1.4  # confirmations are too old by then
MAX_SETTLE_CALLS = 4  # of one instance: 410, load, and reads of changes

Copy = tuple[tuple[StoredRow, ...], int]
Message = Callable[[FollowService], None]


class HistoriesMachine(RuleBasedStateMachine):
    """Interleaves reads, messages and restores, and checks the replicas."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.store = FakeStore()
        self.replicas = [self.new_replica(n) for n in range(INSTANCES)]
        self.copies: list[Copy] = [((), 0)]
        self.messages: list[Message] = []
        self.seen = [0] * INSTANCES

    def new_replica(self, number: int) -> Replica:
        replica = Replica(self.store, self.clock)
        replica.service.is_elected = lambda: number == 0
        return replica

    @rule(key=st.sampled_from(KEYS), removed=st.booleans())
    def change(self, key: str, *, removed: bool) -> None:
        """Write or remove a row."""
        self.copies.append((tuple(self.store.rows), self.store.version))
        self.store.put(key, removed=removed)

    @rule(versions=st.integers(1, 5))
    def change_other_tables(self, versions: int) -> None:
        """Give out versions to rows of other tables."""
        self.store.version += versions

    @rule(pick=PICK)
    def restore(self, pick: int) -> None:
        """Restore the store from a copy of any age."""
        self.copies = self.copies[: pick % len(self.copies) + 1]
        rows, version = self.copies[-1]
        self.store.history += 1
        self.store.rows = list(rows)
        self.store.version = version

    @rule(number=st.integers(0, INSTANCES - 1))
    def poll(self, number: int) -> None:
        """Let an instance read the store, and send what it learns."""
        replica = self.replicas[number]
        replica.poll()
        self.send_messages(replica)

    @rule(number=st.integers(0, INSTANCES - 1), pick=PICK)
    def poll_while_store_is_restored(self, number: int, pick: int) -> None:
        """Restore the store after it has read for its response."""

        def restore_once() -> None:
            self.store.on_read = lambda: None
            self.restore(pick)

        self.store.on_read = restore_once
        self.poll(number)
        self.store.on_read = lambda: None

    @precondition(lambda self: self.messages)
    @rule(pick=PICK, number=st.integers(0, INSTANCES - 1), keep=st.booleans())
    def deliver(self, pick: int, number: int, *, keep: bool) -> None:
        """Deliver a message to an instance, perhaps not for the last time."""
        position = pick % len(self.messages)
        message = self.messages[position]
        if not keep:
            self.messages.pop(position)
        message(self.replicas[number].service)

    @rule(number=st.integers(0, INSTANCES - 1))
    def restart(self, number: int) -> None:
        """Replace an instance by one that knows nothing."""
        self.replicas[number] = self.new_replica(number)
        self.seen[number] = 0

    @rule(elapsed_s=st.sampled_from([0.1, 0.5, 3.0]))
    def pass_time(self, elapsed_s: float) -> None:
        self.clock.moment_s += elapsed_s

    @rule()
    def settle(self) -> None:
        """Let all confirmations lapse; all must then know all rows."""
        self.clock.moment_s += STALE_S
        expected = {row.key for row in self.store.rows if not row.removed}
        for replica in self.replicas:
            calls = self.store.calls
            while replica.service.should_poll('t'):
                replica.poll()
                assert self.store.calls - calls <= MAX_SETTLE_CALLS
                if replica.service.is_elected():
                    replica.poll()
                    replica.poll()
                    break
            assert replica.sink.keys == expected

    @invariant()
    def histories_never_go_back(self) -> None:
        for number, replica in enumerate(self.replicas):
            assert replica.service.history >= self.seen[number]
            self.seen[number] = replica.service.history

    def send_messages(self, replica: Replica) -> None:
        self.messages += [
            operator.methodcaller('apply_relay', relay)
            for relay in replica.relays
        ]
        replica.relays.clear()
        service = replica.service
        if 't' not in service.histories():
            return
        last_change = service.last_changes()['t']
        known_from = service.known_from()['t']
        history = service.histories()['t']
        sent_s = self.clock.moment_s
        self.messages.append(
            lambda peer: peer.update_from_peer(
                't',
                last_change,
                known_from,
                self.clock.moment_s - sent_s,
                history,
            )
        )


def test_histories_machine() -> None:
    run_state_machine_as_test(HistoriesMachine, settings=FUZZING)


def lose_later_changes() -> None:
    machine = HistoriesMachine()
    machine.change('a', removed=False)
    machine.poll(1)
    machine.poll(1)
    machine.change('b', removed=False)
    machine.poll(1)
    machine.restore(1)
    machine.change('c', removed=False)
    machine.settle()
    machine.change('b', removed=False)
    machine.settle()


def take_late_relay() -> None:
    machine = HistoriesMachine()
    for number in range(INSTANCES):
        machine.poll(number)
        machine.poll(number)
    machine.change_other_tables(5)
    machine.change('a', removed=False)
    machine.poll(0)
    machine.restore(0)
    machine.change('b', removed=False)
    machine.poll(1)
    machine.poll(1)
    for _ in range(len(machine.messages)):
        machine.deliver(0, 1, keep=False)
    assert machine.replicas[1].sink.keys == {'b'}


def take_late_confirmation() -> None:
    machine = HistoriesMachine()
    for number in range(INSTANCES):
        machine.poll(number)
        machine.poll(number)
    machine.restore(0)
    machine.change('b', removed=False)
    machine.poll(1)
    machine.poll(1)
    machine.pass_time(3.0)
    machine.messages.clear()
    machine.send_messages(machine.replicas[0])
    machine.deliver(0, 1, keep=False)
    assert machine.replicas[1].service.should_poll('t')


def _keep_larger_position(
    self: Progress,
    history: int,
    position: int,
    last_change: int,
    now_s: float,
) -> None:
    self.advance(position, last_change)
    self.history = history
    self.known_from = position
    self.must_load = False


def _compare_across_histories(
    _self: FollowService, progress: Progress, _history: int
) -> bool:
    return progress.is_loaded


@pytest.mark.parametrize(
    ('script', 'broken', 'method', 'replacement'),
    [
        (lose_later_changes, Progress, 'load', _keep_larger_position),
        (
            take_late_relay,
            FollowService,
            '_is_current',
            _compare_across_histories,
        ),
        (
            take_late_confirmation,
            FollowService,
            '_is_current',
            _compare_across_histories,
        ),
    ],
)
def test_a_broken_mechanism_is_detected(
    script: Callable[[], None],
    broken: type,
    method: str,
    replacement: object,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script()
    monkeypatch.setattr(broken, method, replacement)
    with pytest.raises(AssertionError):
        script()


def test_relay_names_its_history() -> None:
    machine = HistoriesMachine()
    machine.poll(0)
    machine.restore(0)
    machine.change('a', removed=False)
    for _ in range(3):
        machine.replicas[0].poll()
    machine.change('b', removed=False)
    machine.replicas[0].poll()
    relays: list[RowsRelay] = machine.replicas[0].relays
    assert [relay.history for relay in relays] == [2]
