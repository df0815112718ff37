"""Models of entry instances, requests and the table for stateful tests."""

from dataclasses import dataclass, field

from tamarackway_core.once import (
    Attempt,
    AttemptRegistry,
    ClaimProtocol,
    ClaimRow,
    Command,
    Dispatch,
    RunResult,
)


@dataclass
class Entry:
    """An entry instance, replaced by a new one when it is killed."""

    name: str
    incarnation: str
    registry: AttemptRegistry


@dataclass
class Submission:
    """A request that a caller has submitted to one entry instance."""

    entry: Entry
    key: str
    digest: str
    number: int
    is_first: bool


@dataclass
class ActiveAttempt:
    """An attempt that has not ended, with its next command.

    ``dispatched`` means that it may be sent to a target, and ``has_run`` that
    the target has run the request.
    """

    submission: Submission
    attempt: Attempt
    protocol: ClaimProtocol
    command: Command
    history: int
    dispatched: bool = False
    has_run: bool = False


@dataclass
class PendingOutcome:
    """An outcome that its entry instance has yet to write to the claim row."""

    entry: Entry
    key: str
    claim: Dispatch
    result: RunResult
    history: int


@dataclass
class Table:
    """Rows with revisions, and writes that may be applied later."""

    rows: dict[str, tuple[int, ClaimRow]] = field(default_factory=dict)
    delayed: list[tuple[str, ClaimRow, int]] = field(default_factory=list)
    revision: int = 0
    history: int = 1
    copies: list[tuple[int, dict[str, tuple[int, ClaimRow]]]] = field(
        default_factory=list
    )

    def restore(self, pick: int) -> None:
        """Return to a copy of any age; revisions are given out again."""
        self.copies = self.copies[: pick % len(self.copies) + 1]
        revision, rows = self.copies[-1]
        self.revision = revision
        self.rows = dict(rows)
        self.history += 1

    def write(self, key: str, row: ClaimRow, expect: int) -> int | None:
        """Write a row and return its revision, or None after a conflict."""
        revision, _ = self.rows.get(key, (0, None))
        if revision != expect:
            return None
        self.copies.append((self.revision, dict(self.rows)))
        self.revision += 1
        self.rows[key] = (self.revision, row)
        return self.revision
