"""Reports how far the tables of an instance are replicated."""

from collections.abc import Mapping, Sequence
from typing import Final

from tamarackway_entry.following._progress import Progress
from tamarackway_entry.kernel import Clock

MAX_CONFIRMATION_AGE_S: Final = 1.3  # changes must take effect within 2 s


class ProgressReporter:
    """Reports the progress of replicated tables.

    :param tables: names of the tables.
    :param clock: clocks of the daemon.
    """

    def __init__(self, tables: Sequence[str], clock: Clock) -> None:
        """Start with no rows loaded."""
        self._progress = {table: Progress(table) for table in tables}
        self._clock = clock

    @property
    def is_loaded(self) -> bool:
        """Whether the rows of every table are known."""
        return all(progress.is_loaded for progress in self._progress.values())

    @property
    def history(self) -> int:
        """Newest history of the store that any table was loaded from."""
        return max(progress.history for progress in self._progress.values())

    def histories(self) -> dict[str, int]:
        """Return the history of the store that each loaded table is of."""
        return {
            table: progress.history
            for table, progress in self._progress.items()
            if progress.is_loaded
        }

    def last_changes(self) -> dict[str, int]:
        """Return the version of the last known change of each loaded table."""
        return {
            table: progress.last_change
            for table, progress in self._progress.items()
            if progress.is_loaded
        }

    def known_from(self) -> dict[str, int]:
        """Return the version after which all changes of each table are known.

        Omits tables that are not loaded.
        """
        return {
            table: progress.known_from
            for table, progress in self._progress.items()
            if progress.is_loaded
        }

    def covers(
        self, last_changes: Mapping[str, int], histories: Mapping[str, int]
    ) -> bool:
        """Return whether the store cannot tell more than a peer has read.

        :param last_changes: version of the last change known to the peer by
            table.
        :param histories: history of each of these versions.
        """
        return all(
            (progress.history, progress.position)
            >= (histories.get(table, 0), last_changes.get(table, 0))
            for table, progress in self._progress.items()
        )

    def ages_s(self) -> dict[str, float]:
        """Return the time since each table was read from the store.

        Omits tables whose last read is too old to confirm anything.
        """
        now_s = self._clock.now_s()
        return {
            table: now_s - progress.polled_s
            for table, progress in self._progress.items()
            if now_s - progress.polled_s < MAX_CONFIRMATION_AGE_S
        }
