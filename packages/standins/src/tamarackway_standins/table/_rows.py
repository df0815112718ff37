"""In-memory rows with revisions and atomic transactions."""

import time
from dataclasses import dataclass
from typing import Any, Final


@dataclass(frozen=True, slots=True)
class Row:
    """One row.

    :param revision: revision of the table after the transaction that wrote it.
    :param value: any JSON value.
    """

    revision: int
    value: Any


_ABSENT_ROW: Final = Row(0, None)


@dataclass(frozen=True, slots=True)
class _Copy:
    """Rows and revision of the table at one time."""

    at_s: float
    revision: int
    rows: dict[str, Row]


class Rows:
    """Rows of the table and counts of its calls.

    The attribute ``history`` counts how often the table was restored from an
    older copy, from 1.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._rows: dict[str, Row] = {}
        self._copies: list[_Copy] = []
        self.history = 1
        self.revision = 0
        self.writes = 0
        self.reads = 0

    def transact(
        self,
        operations: list[dict[str, Any]],
    ) -> list[dict[str, Any]]:
        """Apply all operations, or none and return the conflicts.

        :param operations: each has a ``key``, a ``value`` (null deletes the
            row) and may have ``expect``, the revision that the row must have
            (0 if it must be absent).
        """
        self.writes += 1
        conflicts = [
            {
                'index': index,
                'key': operation['key'],
                'row': self.read(operation['key']),
            }
            for index, operation in enumerate(operations)
            if not self._has_expected_revision(operation)
        ]
        if conflicts:
            return conflicts
        copy = _Copy(time.monotonic(), self.revision, dict(self._rows))
        self._copies.append(copy)
        self.revision += 1
        for operation in operations:
            if operation['value'] is None:
                self._rows.pop(operation['key'], None)
            else:
                row = Row(self.revision, operation['value'])
                self._rows[operation['key']] = row
        return []

    def restore(self, age_s: float) -> None:
        """Return to the rows and the revision of some time ago.

        :param age_s: age of the copy in seconds.
        """
        copied_s = time.monotonic() - age_s
        later = [copy for copy in self._copies if copy.at_s > copied_s]
        if later:
            self.revision = later[0].revision
            self._rows = dict(later[0].rows)
            self._copies = [
                copy for copy in self._copies if copy.at_s <= copied_s
            ]
        self.history += 1

    def read(self, key: str) -> dict[str, Any] | None:
        """Return a row as a JSON object, or None."""
        row = self._rows.get(key)
        if row is None:
            return None
        return {'revision': row.revision, 'value': row.value}

    def scan(self, prefix: str, limit: int) -> list[dict[str, Any]]:
        """Return the rows whose keys start with a prefix, in key order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [{'key': key, 'row': self.read(key)} for key in keys[:limit]]

    def _has_expected_revision(self, operation: dict[str, Any]) -> bool:
        expected = operation.get('expect')
        if expected is None:
            return True
        row = self._rows.get(operation['key'], _ABSENT_ROW)
        return row.revision == int(expected)
