"""Keeps followed tables up to date at a bounded number of calls.

One live instance polls each table and passes the changes on. The others poll
for themselves only while its confirmations are too old, so each learns of a
change in time whether its peers or the store fall silent.
"""

import math
import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import anyio
from tamarackway_core.recovery import Backoff
from tamarackway_core.wire import RowsRelay, StoredRow

from tamarackway_entry.following._progress import Progress
from tamarackway_entry.kernel import Clock
from tamarackway_entry.store import (
    HistoryCompactedError,
    ReadResult,
    RowStore,
    StoreUnavailableError,
)
from tamarackway_entry.telemetry import component_logger

_WAIT_S: Final = 0.7  # a poll proves that the store still answers
_STALE_S: Final = 1.3  # the strictest bound is 2 s after a change
_BEHIND_S: Final = 0.4  # a relay takes less between any two regions
_IDLE_S: Final = 0.1
_FIRST_RETRY_S: Final = 0.1
_LONGEST_RETRY_S: Final = 0.6  # entries that lapsed are back within 2 s
_OUTAGE_S: Final = 0.3  # shorter failures are retries, no outage
_log = component_logger('follow')


class RowSink(Protocol):
    """Takes rows of followed tables."""

    def replace_rows(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
    ) -> None:
        """Take all rows of a table; others no longer exist."""

    def apply_changes(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
    ) -> None:
        """Take changed rows of a table."""


class FollowService:
    """Follows tables of the store.

    :param tables: names of the tables.
    :param store: the store.
    :param sink: takes the rows.
    :param clock: clocks of the daemon.
    :param rng: spreads retries.
    """

    def __init__(
        self,
        tables: Sequence[str],
        store: RowStore,
        sink: RowSink,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without rows."""
        self.is_elected: Callable[[], bool] = lambda: True
        self.relay: Callable[[RowsRelay], None] = lambda _relay: None
        self._progress = {table: Progress(table) for table in tables}
        self._store = store
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._failed_since_s = math.inf
        self._ended_outage_s = -math.inf

    @property
    def store_answers(self) -> bool:
        """Whether the store answered the last call of this instance."""
        return math.isinf(self._failed_since_s)

    @property
    def is_loaded(self) -> bool:
        """Whether every table was read."""
        return all(progress.loaded for progress in self._progress.values())

    def positions(self) -> dict[str, int]:
        """Return the version of the last change known of each table."""
        return {
            table: progress.last_change
            for table, progress in self._progress.items()
            if progress.loaded
        }

    def ages_s(self) -> dict[str, float]:
        """Return the time since the store itself confirmed each table."""
        now_s = self._clock.now_s()
        return {
            table: now_s - progress.polled_s
            for table, progress in self._progress.items()
            if now_s - progress.polled_s < _STALE_S
        }

    def update_from_peer(
        self,
        table: str,
        last_change: int,
        age_s: float,
    ) -> None:
        """Take in how far a peer knows a table.

        :param table: name of the table.
        :param last_change: version of the last change that the peer knows.
        :param age_s: time since the store itself confirmed it to the peer.
        """
        progress = self._progress.get(table)
        if progress is not None and progress.loaded:
            now_s = self._clock.now_s()
            progress.update_from_peer(last_change, now_s - age_s, now_s)

    def apply_relay(self, relay: RowsRelay) -> None:
        """Take changes that a peer passes on.

        :param relay: the changes.
        """
        progress = self._progress.get(relay.table)
        if progress is None or not progress.loaded:
            return
        if progress.position < relay.after:
            progress.behind_since_s = -math.inf
            return
        rows = [row for row in relay.rows if row.version > progress.position]
        if rows:
            self._sink.apply_changes(
                relay.table,
                rows,
                after_outage=relay.after_outage,
            )
        progress.advance(relay.position, _last_version(relay.rows))

    async def run(self) -> None:
        """Follow all tables until cancelled."""
        async with anyio.create_task_group() as group:
            for progress in self._progress.values():
                group.start_soon(self._follow, progress)

    def should_poll(self, table: str) -> bool:
        """Return whether this instance must ask the store itself.

        :param table: name of the table.
        """
        progress = self._progress[table]
        now_s = self._clock.now_s()
        if not progress.loaded or self.is_elected():
            return True
        if now_s - progress.confirmed_s > _STALE_S:
            return True
        return now_s - progress.behind_since_s > _BEHIND_S

    async def poll(self, table: str) -> None:
        """Ask the store once for what is new, or for everything.

        :param table: name of the table.
        :raises StoreUnavailableError: if the store does not answer.
        """
        try:
            await self._poll(self._progress[table])
        except HistoryCompactedError as error:
            _log.info('%s.', error)
            self._progress[table].loaded = False
        except StoreUnavailableError as error:
            self._record_failure(table, error)
            raise

    async def _follow(self, progress: Progress) -> None:
        backoff = Backoff(_FIRST_RETRY_S, _LONGEST_RETRY_S, self._rng)
        while True:
            if not self.should_poll(progress.table):
                await anyio.sleep(_IDLE_S)
                continue
            try:
                await self.poll(progress.table)
            except StoreUnavailableError:
                await anyio.sleep(backoff.next_s())
            else:
                backoff.reset()

    async def _poll(self, progress: Progress) -> None:
        table = progress.table
        if progress.loaded:
            after = progress.position
            wait_s = _WAIT_S if self.is_elected() else 0
            found = await self._store.read_changes(table, after, wait_s)
            after_outage = self._record_success(table)
            self._pass_on(progress, found, after_outage=after_outage)
        else:
            found = await self._store.read_table(table)
            after_outage = self._record_success(table)
            self._sink.replace_rows(
                table,
                found.rows,
                after_outage=after_outage,
            )
        progress.advance(found.position, _last_version(found.rows))
        progress.record_poll(self._clock.now_s())

    def _pass_on(
        self,
        progress: Progress,
        found: ReadResult,
        *,
        after_outage: bool,
    ) -> None:
        fresh = [row for row in found.rows if row.version > progress.position]
        if not fresh:
            return
        self._sink.apply_changes(
            progress.table,
            fresh,
            after_outage=after_outage,
        )
        if self.is_elected():
            relay = RowsRelay(
                progress.table,
                progress.last_change,
                found.position,
                tuple(fresh),
                after_outage,
            )
            self.relay(relay)

    def _record_failure(self, table: str, error: Exception) -> None:
        if self.store_answers:
            _log.warning('The store is lost for table %s: %s.', table, error)
            self._failed_since_s = self._clock.now_s()

    def _record_success(self, table: str) -> bool:
        """Return whether the store was away until a moment ago."""
        now_s = self._clock.now_s()
        if not self.store_answers:
            away_s = now_s - self._failed_since_s
            _log.info('The store is back for table %s.', table)
            self._failed_since_s = math.inf
            if away_s > _OUTAGE_S:
                self._ended_outage_s = now_s
        return now_s - self._ended_outage_s < 2 * _IDLE_S


def _last_version(rows: Sequence[StoredRow]) -> int:
    return max((row.version for row in rows), default=0)
