"""Rows, their changes, and conditional writes."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tamarackway_core.wire import StoredRow


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Rows as of one moment.

    :param rows: the rows, or the changed rows in order.
    :param position: version of the store at that moment.
    """

    rows: tuple[StoredRow, ...]
    position: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """One write of a transaction.

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
        """Return the changes after a version, waiting for the first.

        :param table: name of the table.
        :param after: version that is known.
        :param wait_s: longest wait for a change in seconds.
        :raises HistoryCompactedError: if that history is gone.
        :raises StoreUnavailableError: if the store does not answer.
        """

    async def write(self, table: str, writes: Sequence[RowWrite]) -> bool:
        """Apply all writes, or none and return False on a conflict.

        :raises StoreUnavailableError: if none was applied.
        :raises StoreInDoubtError: if they may be applied, now or later.
        """
