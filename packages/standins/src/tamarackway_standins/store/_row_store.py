"""In-memory rows with a version counter and a history of changes."""

import base64
import time
from dataclasses import dataclass
from typing import Any, Final

import anyio

_MAX_PAGE_ROWS: Final = 500
RowKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Change:
    """The latest change of one row.

    :param row_key: table, part and key of the row.
    :param version: version of the store after the change.
    :param value: base64-encoded content, or None if the row was removed.
    :param at_s: monotonic time in seconds of the change.
    """

    row_key: RowKey
    version: int
    value: str | None
    at_s: float = 0

    def to_json(self) -> dict[str, Any]:
        """Return the row as it is encoded in responses."""
        table, part, key = self.row_key
        row = {'table': table, 'part': part, 'key': key, 'ver': self.version}
        if self.value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': self.value}


class RowStore:
    """Rows of all tables, which share one version counter.

    The attribute ``era`` counts how often the store was restored from an older
    copy, from 1.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.era = 1
        self.version = 0
        self.compacted_version = 0
        self._journal: list[Change] = []
        self._changes: dict[RowKey, Change] = {}
        self._changed = anyio.Event()

    def transact(self, document: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply all entries and return None, or return the checked rows.

        Nothing is applied if the version of any checked row differs.

        :param document: JSON body of the transaction.
        """
        expected = document.get('expectedRev', [])
        if any(
            self._current_version(entry) != entry['ver'] for entry in expected
        ):
            return [self._row_as_json(entry) for entry in expected]
        self.version += 1
        for entry in document.get('writes', []):
            base64.b64decode(entry['value'], validate=True)
            self._record_change(entry, entry['value'])
        for entry in document.get('remove', []):
            self._record_change(entry, None)
        self._changed.set()
        self._changed = anyio.Event()
        return None

    def list_rows(
        self,
        table: str,
        part: str,
        start: str,
        limit: int,
    ) -> tuple[list[dict[str, Any]], bool]:
        """Return a page of a part in key order, and whether there is more."""
        found = sorted(
            (
                change
                for change in self._changes.values()
                if change.row_key[:2] == (table, part)
                and change.row_key[2] >= start
                and change.value is not None
            ),
            key=lambda change: change.row_key[2],
        )
        size = min(limit, _MAX_PAGE_ROWS)
        return [change.to_json() for change in found[:size]], len(found) > size

    def list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return the rows changed after a version, in order of change."""
        found = sorted(
            (
                change
                for change in self._changes.values()
                if change.row_key[0] == table and change.version > after
            ),
            key=lambda change: change.version,
        )
        return [change.to_json() for change in found]

    async def wait_for_change(
        self, table: str, after: int, wait_s: float
    ) -> None:
        """Wait until a table changes after a version, or until a time-out."""
        with anyio.move_on_after(wait_s):
            while not self.list_changes(table, after):
                await self._changed.wait()

    def compact_history(self) -> None:
        """Drop the history of changes up to the current version."""
        self.compacted_version = self.version

    def restore(self, age_s: float) -> None:
        """Return to the rows and the version of some time ago.

        Versions after that are given out again.

        :param age_s: age of the copy in seconds.
        """
        copied_s = time.monotonic() - age_s
        kept = [change for change in self._journal if change.at_s <= copied_s]
        self.era += 1
        self.version = max((change.version for change in kept), default=0)
        self._journal = kept
        self._changes = {change.row_key: change for change in kept}
        self._changed.set()
        self._changed = anyio.Event()

    def has_history(self, after: int) -> bool:
        """Return whether the changes after a version are known.

        :param after: a version.
        """
        return self.compacted_version <= after <= self.version

    def _current_version(self, entry: dict[str, Any]) -> int:
        change = self._changes.get(_row_key(entry))
        return change.version if change and change.value is not None else 0

    def _row_as_json(self, entry: dict[str, Any]) -> dict[str, Any]:
        change = self._changes.get(_row_key(entry))
        return (change or Change(_row_key(entry), 0, None)).to_json()

    def _record_change(self, entry: dict[str, Any], value: str | None) -> None:
        row_key = _row_key(entry)
        change = Change(row_key, self.version, value, time.monotonic())
        self._changes[row_key] = change
        self._journal.append(change)


def _row_key(entry: dict[str, Any]) -> RowKey:
    return (entry['table'], entry.get('part', ''), entry['key'])
