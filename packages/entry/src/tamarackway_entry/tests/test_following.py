"""Tests of table replication: polling, relays and confirmations."""

import random
from collections.abc import Callable, Sequence

import anyio
import pytest
from tamarackway_core.wire import RowsRelay, StoredRow

from tamarackway_entry.following import FollowService
from tamarackway_entry.following._progress import Progress
from tamarackway_entry.store import (
    HistoryCompactedError,
    ReadResult,
    RowWrite,
    StoreUnavailableError,
)


class ManualClock:
    """A clock that tests advance by hand."""

    def __init__(self) -> None:
        self.moment_s = 100.0

    def now_s(self) -> float:
        return self.moment_s

    def time_s(self) -> float:
        return self.moment_s


class FakeStore:
    """In-memory tables that can become unavailable."""

    def __init__(self) -> None:
        self.rows: list[StoredRow] = []
        self.version = 0
        self.history = 1
        self.down = False
        self.compacted = False
        self.calls = 0
        self.on_read: Callable[[], None] = lambda: None

    def put(self, key: str, *, removed: bool = False) -> None:
        self.version += 1
        self.rows = [row for row in self.rows if row.key != key]
        self.rows.append(StoredRow(key, b'x', self.version, removed))

    async def read_table(self, table: str) -> ReadResult:
        self.record_call()
        self.compacted = False
        live = tuple(row for row in self.rows if not row.removed)
        return ReadResult(live, self.version, self.history)

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> ReadResult:
        self.record_call()
        if self.compacted:
            raise HistoryCompactedError(table)
        if after > self.version:
            raise HistoryCompactedError(table)
        changed = tuple(row for row in self.rows if row.version > after)
        version = self.version
        history = self.history
        self.on_read()
        return ReadResult(changed, version, history)

    async def write(self, table: str, writes: Sequence[RowWrite]) -> bool:
        return True

    def record_call(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError('down')


class FakeSink:
    """Applies rows to a set of keys and records the outage flags."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.outages: list[bool] = []

    def replace_rows(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
        is_restored: bool,
        history: int,
    ) -> None:
        self.keys = {row.key for row in rows}
        self.outages.append(after_outage)

    def apply_changes(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
        history: int,
    ) -> None:
        for row in rows:
            (self.keys.discard if row.removed else self.keys.add)(row.key)
        self.outages.append(after_outage)


class Replica:
    """A follow service of one instance, with a fake sink and its relays."""

    def __init__(self, store: FakeStore, clock: ManualClock) -> None:
        self.sink = FakeSink()
        self.relays: list[RowsRelay] = []
        self.service = FollowService(
            ('t',),
            store,
            self.sink,
            clock,
            random.Random(1),
        )
        self.service.relay = self.relays.append

    def poll(self) -> None:
        anyio.run(self.service.poll, 't')

    def confirm(self, peer: FollowService) -> None:
        """Report the progress of this instance to a peer, as heartbeats do."""
        known_from = self.service.known_from()
        histories = self.service.histories()
        for table, last_change in self.service.last_changes().items():
            peer.update_from_peer(
                table, last_change, known_from[table], 0, histories[table]
            )

    def confirm_with_ages(self, peer: FollowService) -> None:
        """Report progress and the age of each read, as heartbeats do."""
        known_from = self.service.known_from()
        last_changes = self.service.last_changes()
        histories = self.service.histories()
        for table, age_s in self.service.ages_s().items():
            peer.update_from_peer(
                table,
                last_changes[table],
                known_from[table],
                age_s,
                histories[table],
            )


def test_two_followers_do_not_confirm_each_other() -> None:
    """Otherwise neither would poll after both lost the elected instance."""
    first = Progress('t')
    second = Progress('t')
    for progress in (first, second):
        progress.advance(5, 5)
    first.record_poll(100)
    second.update_from_peer(5, 0, first.polled_s, 100.4)
    for step in range(100):
        moment_s = 100.4 + step / 10
        first.update_from_peer(5, 0, second.polled_s, moment_s)
        second.update_from_peer(5, 0, first.polled_s, moment_s)
    assert first.confirmed_s == pytest.approx(100)
    assert second.confirmed_s == pytest.approx(100)


def test_writes_to_other_tables_do_not_break_a_relay() -> None:
    store, clock = FakeStore(), ManualClock()
    elected, follower = Replica(store, clock), Replica(store, clock)
    elected.poll()
    follower.poll()
    follower.service.is_elected = lambda: False
    for number in range(3):
        store.version += 7  # writes to other tables
        elected.poll()
        store.put(f'row{number}')
        elected.poll()
        follower.service.apply_relay(elected.relays[-1])
    assert follower.sink.keys == {'row0', 'row1', 'row2'}


def test_follower_polls_after_missed_relay() -> None:
    store, clock = FakeStore(), ManualClock()
    elected, follower = Replica(store, clock), Replica(store, clock)
    elected.poll()
    follower.poll()
    follower.service.is_elected = lambda: False
    for key in ('missed', 'received'):
        store.put(key)
        elected.poll()
    follower.service.apply_relay(elected.relays[-1])
    assert follower.service.should_poll('t')
    follower.poll()
    assert follower.sink.keys == {'missed', 'received'}


@pytest.mark.parametrize(
    ('unconfirmed_s', 'polls'),
    [(0.5, False), (1.2, False), (1.4, True)],
)
def test_follower_polls_when_confirmation_is_too_old(
    unconfirmed_s: float,
    *,
    polls: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    follower = Replica(store, clock)
    follower.poll()
    follower.service.is_elected = lambda: False
    clock.moment_s += unconfirmed_s
    assert follower.service.should_poll('t') is polls


def test_table_is_reloaded_when_history_is_compacted() -> None:
    store, clock = FakeStore(), ManualClock()
    follower = Replica(store, clock)
    store.put('old')
    follower.poll()
    store.put('old', removed=True)
    store.put('new')
    store.compacted = True
    follower.poll()
    follower.poll()
    assert follower.sink.keys == {'new'}


# Guards against requests to a removed target on an instance that missed the
# removal, confirmed by a peer that loaded the table afterwards.
@pytest.mark.parametrize('elected_reloads', ['restart', 'compacted history'])
@pytest.mark.parametrize('missed', [('left',), ('left', 'right')])
@pytest.mark.parametrize('later_change', [False, True])
def test_missed_removal_is_found_although_elected_instance_loaded_after_it(
    elected_reloads: str,
    missed: tuple[str, ...],
    *,
    later_change: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    for key in ('left', 'right', 'stays'):
        store.put(key)
    elected, listener = Replica(store, clock), Replica(store, clock)
    listener.service.is_elected = lambda: False
    elected.poll()
    listener.poll()
    for key in missed:
        store.put(key, removed=True)
    if elected_reloads == 'restart':
        elected = Replica(store, clock)
    else:
        store.compacted = True
        elected.poll()
    elected.poll()
    for step in range(20):
        clock.moment_s += 0.4
        if later_change and step == 1:
            store.put('stays')
        elected.poll()
        for relay in elected.relays:
            listener.service.apply_relay(relay)
        elected.relays.clear()
        elected.confirm(listener.service)
        if listener.service.should_poll('t'):
            listener.poll()
    assert listener.sink.keys == elected.sink.keys


def test_listener_polls_once_after_the_elected_instance_restarted() -> None:
    store, clock = FakeStore(), ManualClock()
    store.put('row')
    listener = Replica(store, clock)
    listener.service.is_elected = lambda: False
    listener.poll()
    store.version += 7  # writes to other tables
    restarted = Replica(store, clock)
    restarted.poll()
    calls = 0
    for _ in range(50):
        clock.moment_s += 0.4
        restarted.poll()
        restarted.confirm(listener.service)
        if listener.service.should_poll('t'):
            listener.poll()
            calls += 1
    assert calls == 1


@pytest.mark.parametrize(
    ('outage_s', 'after_outage'),
    [(0.1, False), (2.0, True)],
)
def test_changes_after_an_outage_are_flagged(
    outage_s: float,
    *,
    after_outage: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    follower = Replica(store, clock)
    follower.poll()
    store.down = True
    with pytest.raises(StoreUnavailableError):
        follower.poll()
    clock.moment_s += outage_s
    store.down = False
    store.put('x')
    follower.poll()
    assert follower.sink.outages[-1] is after_outage


def lose_store(listener: Replica, store: FakeStore) -> None:
    store.down = True
    with pytest.raises(StoreUnavailableError):
        listener.poll()
    store.down = False


# Guards against requests to a removed target on an instance that had lost the
# store on its own, and so held the removal for one that an outage caused.
@pytest.mark.parametrize(
    ('lost_s', 'peer_reads', 'after_outage'),
    [
        (2.0, False, True),
        (2.0, True, False),
        (40.0, True, False),
    ],
)
def test_loss_of_only_the_own_path_to_the_store_is_no_outage(
    lost_s: float,
    *,
    peer_reads: bool,
    after_outage: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    store.put('left')
    elected, listener = Replica(store, clock), Replica(store, clock)
    listener.service.is_elected = lambda: False
    listener.poll()
    lose_store(listener, store)
    clock.moment_s += lost_s
    if peer_reads:
        elected.poll()
        elected.confirm(listener.service)
        clock.moment_s += 1.4  # until the listener polls for itself
    store.put('left', removed=True)
    listener.poll()
    assert listener.sink.outages[-1] is after_outage


# Guards against requests to a removed target on an instance that was elected,
# lost the store on its own and reads the removal itself.
@pytest.mark.parametrize('read_after_s', [0.2, 0.6, 0.9])
def test_peer_that_reads_soon_after_a_failure_shows_that_there_is_no_outage(
    read_after_s: float,
) -> None:
    store, clock = FakeStore(), ManualClock()
    store.put('left')
    lost, peer = Replica(store, clock), Replica(store, clock)
    for replica in (lost, peer):
        replica.poll()
    lose_store(lost, store)
    clock.moment_s += read_after_s
    peer.poll()
    peer.confirm(lost.service)
    clock.moment_s += 0.3
    store.put('left', removed=True)
    lost.poll()
    assert not lost.sink.outages[-1]


# Guards against requests to a removed target on all instances, because the
# elected one had lost the store on its own and relays the removal.
@pytest.mark.parametrize('listener_lost_store', [False, True])
def test_relay_after_an_outage_is_checked_by_its_receiver(
    *,
    listener_lost_store: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    store.put('left')
    elected, listener = Replica(store, clock), Replica(store, clock)
    listener.service.is_elected = lambda: False
    elected.poll()
    listener.poll()
    lose_store(elected, store)
    if listener_lost_store:
        lose_store(listener, store)
    clock.moment_s += 2
    store.put('left', removed=True)
    elected.poll()
    assert elected.relays[-1].after_outage
    listener.service.apply_relay(elected.relays[-1])
    assert listener.sink.outages[-1] is listener_lost_store


# Guards against requests to a removed target on all instances, because the
# elected one was frozen and confirms what it had read before.
@pytest.mark.parametrize(
    ('frozen_s', 'confirms'), [(0.0, True), (0.7, True), (3.0, False)]
)
def test_instance_that_was_frozen_during_a_read_confirms_nothing(
    frozen_s: float, *, confirms: bool
) -> None:
    store, clock = FakeStore(), ManualClock()
    store.put('left')
    elected, listener = Replica(store, clock), Replica(store, clock)
    listener.service.is_elected = lambda: False
    listener.poll()
    elected.poll()

    def freeze() -> None:
        clock.moment_s += frozen_s
        store.put('left', removed=True)

    clock.moment_s += 1.2
    store.on_read = freeze
    elected.poll()
    elected.confirm_with_ages(listener.service)
    clock.moment_s += 0.2
    assert listener.service.should_poll('t') is not confirms


def restore(store: FakeStore, rows: Sequence[StoredRow], version: int) -> None:
    store.history += 1
    store.rows = list(rows)
    store.version = version


# Guards against changes that are missed since the restored store has given out
# the versions again that an instance knows.
@pytest.mark.parametrize('versions', [0, 1, 2, 3, 10])
@pytest.mark.parametrize('is_elected', [False, True])
def test_changes_after_a_restore_are_applied(
    versions: int, *, is_elected: bool
) -> None:
    store, clock = FakeStore(), ManualClock()
    store.put('stays')
    copy = tuple(store.rows)
    instance = Replica(store, clock)
    instance.service.is_elected = lambda: is_elected
    for key in ('lost', 'lost, too'):
        store.put(key)
    instance.poll()
    restore(store, copy, 1)
    store.put('new')
    store.version += versions
    for _ in range(3):
        instance.poll()
    assert instance.sink.keys == {'stays', 'new'}
    store.put('later')
    instance.poll()
    assert instance.sink.keys == {'stays', 'new', 'later'}


# Guards against relays and confirmations of a history that has ended, which
# arrive after the store was restored.
@pytest.mark.parametrize('is_late', [False, True])
def test_messages_of_an_ended_history_are_discarded(*, is_late: bool) -> None:
    store, clock = FakeStore(), ManualClock()
    elected, listener = Replica(store, clock), Replica(store, clock)
    listener.service.is_elected = lambda: False
    elected.poll()
    listener.poll()
    store.put('lost')
    elected.poll()
    restore(store, (), 0)
    store.put('new')
    if is_late:
        elected.confirm(listener.service)
        listener.service.apply_relay(elected.relays[-1])
    other = Replica(store, clock)
    other.poll()
    other.confirm(listener.service)
    assert listener.service.should_poll('t')
    listener.poll()
    listener.service.apply_relay(elected.relays[-1])
    assert listener.sink.keys == {'new'}
    clock.moment_s += 1.4
    elected.confirm(listener.service)
    assert listener.service.should_poll('t')


# Guards against an instance that applies what the store told before it was
# restored.
def test_late_response_of_an_ended_history_is_discarded() -> None:
    store, clock = FakeStore(), ManualClock()
    instance = Replica(store, clock)
    restore(store, (), 5)
    instance.poll()
    store.history -= 1
    store.put('lost')
    with pytest.raises(StoreUnavailableError):
        instance.poll()
    assert not instance.sink.keys


# Guards against an instance that is not ready while it loads the restored
# store, and so turns callers away that it could serve.
def test_tables_stay_in_use_until_they_are_loaded_anew() -> None:
    store, clock = FakeStore(), ManualClock()
    instance = Replica(store, clock)
    store.put('lost')
    instance.poll()
    restore(store, (), 0)
    instance.poll()
    assert instance.service.is_loaded
    assert instance.sink.keys == {'lost'}
    instance.poll()
    assert not instance.sink.keys
    assert instance.sink.outages[-1]


# Guards against whole tables that are read without a pause while the store
# has no changes to tell.
def test_repeated_loads_are_spaced() -> None:
    class RefusingStore(FakeStore):
        async def read_changes(
            self, table: str, after: int, wait_s: float
        ) -> ReadResult:
            self.record_call()
            raise HistoryCompactedError(table)

    store = RefusingStore()
    instance = Replica(store, ManualClock())

    async def replicate() -> None:
        with anyio.move_on_after(1):
            await instance.service.run()

    anyio.run(replicate)
    assert 4 < store.calls < 20
