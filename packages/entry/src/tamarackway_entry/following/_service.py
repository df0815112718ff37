"""Replicates tables of the store with a bounded number of calls.

The elected instance polls each table, relays the changes to its peers, and
confirms in its heartbeats up to which version it has read. The others poll only
while a confirmation is too old or a relay is missing, so that changes still
arrive in time when the elected instance or its links fail.
"""

import enum
import math
import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import anyio
from tamarackway_core.recovery import Backoff
from tamarackway_core.wire import RowsRelay, StoredRow

from tamarackway_entry.following._outage import OutageDetector
from tamarackway_entry.following._progress import Progress
from tamarackway_entry.following._reports import (
    MAX_CONFIRMATION_AGE_S,
    ProgressReporter,
)
from tamarackway_entry.kernel import Clock
from tamarackway_entry.store import (
    HistoryCompactedError,
    ReadResult,
    RowStore,
    StoreUnavailableError,
)
from tamarackway_entry.telemetry import component_logger

_LONG_POLL_S: Final = 0.7  # short, since each reply also confirms the table
_RELAY_TIMEOUT_S: Final = 0.4  # longer than a relay between any two regions
_MAX_READ_S: Final = 1.0  # above the time-out of reads
_CHECK_INTERVAL_S: Final = 0.1
_FIRST_RETRY_S: Final = 0.1
_MAX_RETRY_S: Final = 0.6  # expired targets must be back within 2 s
_log = component_logger('follow')


class PollReason(enum.StrEnum):
    """Why an instance polls the store itself."""

    NOT_LOADED = 'not-loaded'
    HISTORY_ENDED = 'history-ended'
    ELECTED = 'elected'
    NOT_CONFIRMED = 'not-confirmed'
    RELAY_MISSING = 'relay-missing'


class RowSink(Protocol):
    """Receives the rows of replicated tables.

    The flag ``after_outage`` says that the store was unreachable or restored
    until now. Rows may then be missing because they expired during the outage.
    The flag ``is_restored`` says that the rows replace those of an earlier
    history, and that some may be older than what was known. Changed rows were
    certainly written in ``history``; others may stem from the copy that it
    began with.
    """

    def replace_rows(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
        is_restored: bool,
        history: int,
    ) -> None:
        """Replace all rows of a table."""

    def apply_changes(
        self,
        table: str,
        rows: Sequence[StoredRow],
        *,
        after_outage: bool,
        history: int,
    ) -> None:
        """Apply changed and removed rows to a table."""


class FollowService(ProgressReporter):
    """Replicates tables of the store.

    The owner replaces two callbacks: ``is_elected`` returns whether this
    instance polls for its peers, ``relay`` sends changed rows to them.

    :param tables: names of the tables.
    :param store: the store.
    :param sink: receives the rows.
    :param clock: clocks of the daemon.
    :param rng: source of the jitter of retries.
    """

    def __init__(
        self,
        tables: Sequence[str],
        store: RowStore,
        sink: RowSink,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with no rows loaded."""
        self.is_elected: Callable[[], bool] = lambda: True
        self.relay: Callable[[RowsRelay], None] = lambda _relay: None
        super().__init__(tables, clock)
        self._store = store
        self._sink = sink
        self._rng = rng
        self._outage = OutageDetector()

    @property
    def store_answers(self) -> bool:
        """Whether the last own read succeeded; true before the first one."""
        return self._outage.store_answers

    def update_from_peer(
        self,
        table: str,
        last_change: int,
        known_from: int,
        age_s: float,
        history: int = 0,
    ) -> None:
        """Update from the progress that a peer reports for a table.

        :param table: name of the table.
        :param last_change: version of the last change known to the peer.
        :param known_from: version after which the peer knows all changes.
        :param age_s: time since the peer read the table from the store.
        :param history: history of the store that these versions belong to.
        """
        progress = self._progress.get(table)
        if progress is not None and self._is_current(progress, history):
            now_s = self._clock.now_s()
            read_s = now_s - age_s
            progress.update_from_peer(last_change, known_from, read_s, now_s)
            self._outage.record_peer_read(read_s, now_s)

    def apply_relay(self, relay: RowsRelay) -> None:
        """Apply changes that a peer relays.

        :param relay: the changes.
        """
        progress = self._progress.get(relay.table)
        if progress is None or not self._is_current(progress, relay.history):
            return
        if progress.position < relay.after:
            # An earlier relay is missing, so the next check polls.
            progress.behind_since_s = -math.inf
            return
        rows = [row for row in relay.rows if row.version > progress.position]
        if rows:
            # The sender may have lost only its own path to the store.
            now_s = self._clock.now_s()
            is_affected = self._outage.is_affected(now_s)
            after_outage = relay.after_outage and is_affected
            after_outage |= progress.was_just_restored(now_s)
            self._apply(progress, rows, 'a relay', after_outage=after_outage)
        progress.advance(relay.position, _last_version(relay.rows))

    async def run(self) -> None:
        """Replicate all tables until cancelled."""
        async with anyio.create_task_group() as group:
            for progress in self._progress.values():
                group.start_soon(self._replicate, progress)

    def should_poll(self, table: str) -> bool:
        """Return whether this instance must poll the store itself.

        :param table: name of the table.
        """
        return self.poll_reason(table) is not None

    def poll_reason(self, table: str) -> PollReason | None:
        """Return why this instance must poll the store, or None.

        :param table: name of the table.
        """
        progress = self._progress[table]
        now_s = self._clock.now_s()
        if not progress.is_loaded:
            return PollReason.NOT_LOADED
        if progress.must_load:
            return PollReason.HISTORY_ENDED
        if self.is_elected():
            return PollReason.ELECTED
        if now_s - progress.confirmed_s > MAX_CONFIRMATION_AGE_S:
            return PollReason.NOT_CONFIRMED
        if now_s - progress.behind_since_s > _RELAY_TIMEOUT_S:
            return PollReason.RELAY_MISSING
        return None

    async def poll(self, table: str) -> None:
        """Read the changes of a table, or all rows if none are loaded.

        :param table: name of the table.
        :raises StoreUnavailableError: if the store does not answer.
        """
        try:
            await self._poll(self._progress[table])
        except HistoryCompactedError as error:
            _log.info('%s.', error)
            self._progress[table].end_history()
        except StoreUnavailableError as error:
            self._record_failure(table, error)
            raise

    async def _replicate(self, progress: Progress) -> None:
        backoff = Backoff(_FIRST_RETRY_S, _MAX_RETRY_S, self._rng)
        while True:
            reason = self.poll_reason(progress.table)
            if reason is None:
                await anyio.sleep(_CHECK_INTERVAL_S)
                continue
            if reason != PollReason.ELECTED:
                _log_poll(progress, reason, self._clock.now_s())
            if await self._has_followed(progress):
                backoff.reset()
            else:
                await anyio.sleep(backoff.next_s())

    async def _has_followed(self, progress: Progress) -> bool:
        """Poll; return whether the store tells changes and not only rows."""
        try:
            await self.poll(progress.table)
        except StoreUnavailableError:
            return False
        return progress.loads == 0

    async def _poll(self, progress: Progress) -> None:
        table = progress.table
        started_s = self._clock.now_s()
        wait_s: float = 0
        if progress.must_load:
            result = await self._store.read_table(table)
            self._check_history(progress, result)
            self._load(progress, result)
        else:
            after = progress.position
            wait_s = _LONG_POLL_S if self.is_elected() else 0
            result = await self._store.read_changes(table, after, wait_s)
            self._check_history(progress, result)
            if result.history > progress.history:
                # The store knew the version, but of another history.
                progress.end_history()
                return
            after_outage = self._record_success(progress)
            self._apply_changes(progress, result, after_outage=after_outage)
            progress.advance(result.position, _last_version(result.rows))
            progress.loads = 0
        now_s = self._clock.now_s()
        # If this process stood still meanwhile, the response is old.
        is_late = now_s - started_s > wait_s + _MAX_READ_S
        progress.record_poll(started_s if is_late else now_s)

    def _load(self, progress: Progress, result: ReadResult) -> None:
        """Replace all rows of a table by those that were read."""
        table = progress.table
        now_s = self._clock.now_s()
        is_restored = progress.is_loaded and result.history > progress.history
        after_outage = self._record_success(progress) or is_restored
        self._sink.replace_rows(
            table,
            result.rows,
            after_outage=after_outage,
            is_restored=is_restored,
            history=result.history,
        )
        _log.info(
            'Loaded %d rows of table %s at version %d of history %d, '
            'known version %d, after_outage=%s.',
            len(result.rows),
            table,
            result.position,
            result.history,
            progress.position,
            after_outage,
        )
        progress.load(
            result.history, result.position, _last_version(result.rows), now_s
        )

    def _check_history(self, progress: Progress, result: ReadResult) -> None:
        """Discard a response that the store gave before it was restored."""
        if result.history < progress.history:
            raise StoreUnavailableError(
                f'the response is of history {result.history}, which has ended'
            )

    def _is_current(self, progress: Progress, history: int) -> bool:
        """Return whether versions of a peer can be compared with the own ones.

        If the peer has seen a newer history, the table must be loaded.
        """
        if not progress.is_loaded or progress.must_load:
            return False
        if history > progress.history:
            progress.end_history()
        return history == progress.history

    def _apply_changes(
        self,
        progress: Progress,
        result: ReadResult,
        *,
        after_outage: bool,
    ) -> None:
        """Apply changes that were read, and relay them if elected."""
        changed = [
            row for row in result.rows if row.version > progress.position
        ]
        if not changed:
            return
        self._apply(progress, changed, 'a poll', after_outage=after_outage)
        if self.is_elected():
            relay = RowsRelay(
                progress.table,
                max(progress.last_change, progress.known_from),
                result.position,
                tuple(changed),
                after_outage,
                progress.history,
            )
            self.relay(relay)

    def _apply(
        self,
        progress: Progress,
        rows: Sequence[StoredRow],
        source: str,
        *,
        after_outage: bool,
    ) -> None:
        self._sink.apply_changes(
            progress.table,
            rows,
            after_outage=after_outage,
            history=progress.history,
        )
        _log.info(
            'Applied %d rows of table %s up to version %d from %s, '
            'after_outage=%s.',
            len(rows),
            progress.table,
            _last_version(rows),
            source,
            after_outage,
        )

    def _record_failure(self, table: str, error: Exception) -> None:
        if self.store_answers:
            _log.warning(
                'Cannot read table %s from the store: %s.',
                table,
                error,
            )
        self._outage.record_failure(self._clock.now_s())

    def _record_success(self, progress: Progress) -> bool:
        """Return whether the store was unreachable or restored until now.

        All tables share the outage, so reads shortly after its end count too.
        """
        now_s = self._clock.now_s()
        if not self.store_answers:
            _log.info(
                'The store answers again, starting with %s.', progress.table
            )
        self._outage.record_success(now_s)
        if progress.was_just_restored(now_s):
            return True
        return self._outage.has_recovered(now_s)


def _log_poll(progress: Progress, reason: PollReason, now_s: float) -> None:
    _log.info(
        'Polling table %s at version %d, %s, confirmed %.1f s ago.',
        progress.table,
        progress.position,
        reason,
        now_s - progress.confirmed_s,
    )


def _last_version(rows: Sequence[StoredRow]) -> int:
    return max((row.version for row in rows), default=0)
