"""Rows of all tables, the version counter and the history of changes."""

import base64
from dataclasses import dataclass
from typing import Any, Final

import anyio

_MAX_PAGE: Final = 500
Place = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Change:
    """The latest change of one row.

    :param place: table, part and key.
    :param version: version of the store at the change.
    :param value: base64 of the content, or None if the row was removed.
    """

    place: Place
    version: int
    value: str | None

    def show(self) -> dict[str, Any]:
        """Return the row as the store's answers hold it."""
        table, part, key = self.place
        row = {'table': table, 'part': part, 'key': key, 'ver': self.version}
        if self.value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': self.value}


class RowLog:
    """Rows in memory, with one version counter for all tables."""

    def __init__(self) -> None:
        """Start without rows."""
        self.version = 0
        self.forgotten = 0
        self._changes: dict[Place, Change] = {}
        self._changed = anyio.Event()

    def transact(self, document: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply all entries and return None, or return rows that conflict.

        :param document: body of a transaction.
        """
        expected = document.get('expectedRev', [])
        if any(self._version(entry) != entry['ver'] for entry in expected):
            return [self._show(entry) for entry in expected]
        self.version += 1
        for entry in document.get('writes', []):
            base64.b64decode(entry['value'], validate=True)
            self._set(entry, entry['value'])
        for entry in document.get('remove', []):
            self._set(entry, None)
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
        """Return rows of a part by key, and whether there are more."""
        found = sorted(
            (
                change
                for change in self._changes.values()
                if change.place[:2] == (table, part)
                and change.place[2] >= start
                and change.value is not None
            ),
            key=lambda change: change.place[2],
        )
        size = min(limit, _MAX_PAGE)
        return [change.show() for change in found[:size]], len(found) > size

    def list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return what changed after a version, in order."""
        found = sorted(
            (
                change
                for change in self._changes.values()
                if change.place[0] == table and change.version > after
            ),
            key=lambda change: change.version,
        )
        return [change.show() for change in found]

    async def wait_for_change(
        self, table: str, after: int, wait_s: float
    ) -> None:
        """Wait until a table has changed after a version, or a time is over."""
        with anyio.move_on_after(wait_s):
            while not self.list_changes(table, after):
                await self._changed.wait()

    def forget_history(self) -> None:
        """Lose the history up to now."""
        self.forgotten = self.version

    def _version(self, entry: dict[str, Any]) -> int:
        change = self._changes.get(_place(entry))
        return change.version if change and change.value is not None else 0

    def _show(self, entry: dict[str, Any]) -> dict[str, Any]:
        change = self._changes.get(_place(entry))
        return (change or Change(_place(entry), 0, None)).show()

    def _set(self, entry: dict[str, Any], value: str | None) -> None:
        place = _place(entry)
        self._changes[place] = Change(place, self.version, value)


def _place(entry: dict[str, Any]) -> Place:
    return (entry['table'], entry.get('part', ''), entry['key'])
