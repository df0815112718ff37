"""Reads, change feeds and conditional writes of rows."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tamarackway_core.wire import StoredRow


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read at one version of the store.

    :param rows: all rows, or the changed rows in order of their changes.
    :param position: version of the store that was read.
    :param history: number of the store's history, to which the position and
        the versions of the rows belong. It rises each time that the store is
        restored from an older copy, and versions are then given out again.
    """

    rows: tuple[StoredRow, ...]
    position: int
    history: int = 0


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write in a transaction.

    :param key: key of the row.
    :param content: new bytes, or None to remove the row.
    :param expected_version: version that the row must have, 0 if it must not
        exist, or None for any.
    """

    key: str
    content: bytes | None
    expected_version: int | None = None


class RowStore(Protocol):
    """A linearizable store of rows in tables."""

    async def read_table(self, table: str) -> ReadResult:
        """Return all rows of a table.

        :raises StoreUnavailableError: if the store does not answer.
        """

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> ReadResult:
        """Return the changes after a version, waiting for at least one.

        :param table: name of the table.
        :param after: version that the caller already has.
        :param wait_s: maximum time to wait for a change in seconds.
        :raises HistoryCompactedError: if these changes are no longer held.
        :raises StoreUnavailableError: if the store does not answer.
        """

    async def write(self, table: str, writes: Sequence[RowWrite]) -> bool:
        """Apply all writes; on a conflict apply none and return False.

        :raises StoreUnavailableError: if no write was applied.
        :raises StoreInDoubtError: if the writes may have been applied or may
            still be applied.
        """
