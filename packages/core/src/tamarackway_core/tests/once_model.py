"""What the fuzzing of claims knows of instances, requests and the table."""

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
    """An entry instance, which is replaced when it is killed."""

    name: str
    incarnation: str
    ledger: AttemptRegistry


@dataclass
class Sending:
    """A request that a caller has sent to one entry instance."""

    entry: Entry
    key: str
    digest: str
    number: int
    is_first: bool


@dataclass
class Run:
    """An attempt that is under way."""

    sending: Sending
    attempt: Attempt
    protocol: ClaimProtocol
    command: Command
    dispatched: bool = False
    has_run: bool = False


@dataclass
class Record:
    """An outcome that the entry instance still has to write."""

    entry: Entry
    key: str
    claim: Dispatch
    result: RunResult


@dataclass
class Table:
    """Rows with revisions, and writes that arrive late."""

    rows: dict[str, tuple[int, ClaimRow]] = field(default_factory=dict)
    late: list[tuple[str, ClaimRow, int]] = field(default_factory=list)
    revision: int = 0

    def write(self, key: str, row: ClaimRow, expect: int) -> int | None:
        """Write a row and return its revision, or None after a conflict."""
        revision, _ = self.rows.get(key, (0, None))
        if revision != expect:
            return None
        self.revision += 1
        self.rows[key] = (self.revision, row)
        return self.revision
