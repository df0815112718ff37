"""Followed tables: who polls, what is relayed, and what confirms what."""

import random
from collections.abc import Sequence

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
    """A clock that tests move."""

    def __init__(self) -> None:
        self.moment_s = 100.0

    def now_s(self) -> float:
        return self.moment_s

    def time_s(self) -> float:
        return self.moment_s


class FakeStore:
    """Tables in memory that can be taken away."""

    def __init__(self) -> None:
        self.rows: list[StoredRow] = []
        self.version = 0
        self.down = False
        self.compacted = False
        self.calls = 0

    def put(self, key: str, *, removed: bool = False) -> None:
        self.version += 1
        self.rows = [row for row in self.rows if row.key != key]
        self.rows.append(StoredRow(key, b'x', self.version, removed))

    async def read_table(self, table: str) -> ReadResult:
        self.check()
        self.compacted = False
        live = tuple(row for row in self.rows if not row.removed)
        return ReadResult(live, self.version)

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> ReadResult:
        self.check()
        if self.compacted:
            raise HistoryCompactedError(table)
        changed = tuple(row for row in self.rows if row.version > after)
        return ReadResult(changed, self.version)

    async def write(self, table: str, writes: Sequence[RowWrite]) -> bool:
        return True

    def check(self) -> None:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError('down')


class Sink:
    """Remembers what it was given."""

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.outages: list[bool] = []

    def replace_rows(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
    ) -> None:
        self.keys = {row.key for row in rows}
        self.outages.append(after_outage)

    def apply_changes(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
    ) -> None:
        for row in rows:
            (self.keys.discard if row.removed else self.keys.add)(row.key)
        self.outages.append(after_outage)


class Follower:
    """One follower with its store, clock and sink."""

    def __init__(self, store: FakeStore, clock: ManualClock) -> None:
        self.sink = Sink()
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


def test_two_listeners_do_not_confirm_each_other() -> None:
    first = Progress('t')
    second = Progress('t')
    for progress in (first, second):
        progress.advance(5, 5)
    first.record_poll(100)
    second.update_from_peer(5, first.polled_s, 100.4)
    for bounce in range(100):
        moment_s = 100.4 + bounce / 10
        first.update_from_peer(5, second.polled_s, moment_s)
        second.update_from_peer(5, first.polled_s, moment_s)
    assert first.confirmed_s == pytest.approx(100)
    assert second.confirmed_s == pytest.approx(100)


def test_writes_to_other_tables_do_not_break_a_relay() -> None:
    store, clock = FakeStore(), ManualClock()
    leader, listener = Follower(store, clock), Follower(store, clock)
    leader.poll()
    listener.poll()
    listener.service.is_elected = lambda: False
    for number in range(3):
        store.version += 7
        leader.poll()
        store.put(f'row{number}')
        leader.poll()
        listener.service.apply_relay(leader.relays[-1])
    assert listener.sink.keys == {'row0', 'row1', 'row2'}


def test_a_missed_relay_makes_the_listener_poll() -> None:
    store, clock = FakeStore(), ManualClock()
    leader, listener = Follower(store, clock), Follower(store, clock)
    leader.poll()
    listener.poll()
    listener.service.is_elected = lambda: False
    for key in ('missed', 'heard'):
        store.put(key)
        leader.poll()
    listener.service.apply_relay(leader.relays[-1])
    assert listener.service.should_poll('t')
    listener.poll()
    assert listener.sink.keys == {'missed', 'heard'}


@pytest.mark.parametrize(
    ('silent_s', 'polls'),
    [(0.5, False), (1.2, False), (1.4, True)],
)
def test_a_listener_polls_once_its_confirmation_is_old(
    silent_s: float,
    *,
    polls: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    listener = Follower(store, clock)
    listener.poll()
    listener.service.is_elected = lambda: False
    clock.moment_s += silent_s
    assert listener.service.should_poll('t') is polls


def test_lost_history_is_replaced_by_the_whole_table() -> None:
    store, clock = FakeStore(), ManualClock()
    follower = Follower(store, clock)
    store.put('old')
    follower.poll()
    store.put('old', removed=True)
    store.put('new')
    store.compacted = True
    follower.poll()
    follower.poll()
    assert follower.sink.keys == {'new'}


@pytest.mark.parametrize(
    ('away_s', 'told'),
    [(0.1, False), (2.0, True)],
)
def test_changes_after_an_outage_are_told_apart(
    away_s: float,
    *,
    told: bool,
) -> None:
    store, clock = FakeStore(), ManualClock()
    follower = Follower(store, clock)
    follower.poll()
    store.down = True
    with pytest.raises(StoreUnavailableError):
        follower.poll()
    clock.moment_s += away_s
    store.down = False
    store.put('x')
    follower.poll()
    assert follower.sink.outages[-1] is told
