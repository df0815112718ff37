"""Steps by which an attempt claims its request in the table."""

from dataclasses import dataclass
from typing import Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once._ledger import AttemptRegistry, key_reused_result
from tamarackway_core.once._model import (
    ClaimRow,
    ClaimState,
    Outcome,
    Response,
    RunResult,
)

_MAX_WRITES: Final = 5
_RETRY_AFTER_S: Final = 1


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the claim if the row has a revision; 0 means absent."""

    expect: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row, to learn whether the claim was written."""


@dataclass(frozen=True, slots=True)
class QueryClaimant:
    """Ask the claimant, which alone knows whether the request runs."""

    claimant: str
    incarnation: str
    token: str


@dataclass(frozen=True, slots=True)
class FetchResponse:
    """Fetch the body of a stored answer from the object store."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Dispatch:
    """The row holds this attempt's claim, so it may be dispatched.

    :param row: the claim.
    :param revision: revision of the row.
    """

    row: ClaimRow
    revision: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Tell the caller a result without dispatching."""

    result: RunResult


Command = WriteRow | ReadRow | QueryClaimant | FetchResponse | Dispatch | Finish


class ClaimProtocol:
    """Decides the steps of one attempt.

    :param row: the claim that the attempt wants to write.
    :param is_first: whether the caller says that this is the first sending,
        so that without a claim no other one can be under way.
    :param ledger: attempts of this entry instance.

    Each method takes what the last command has led to and returns the next
    command. A claim is replaced only if it did not run, by the row itself or
    the claimant's word, and only by a sending with a higher number. So what
    was said to be not run stays so, even when an earlier sending of it
    arrives late at another entry instance.
    """

    def __init__(
        self,
        row: ClaimRow,
        ledger: AttemptRegistry,
        *,
        is_first: bool,
    ) -> None:
        """Remember the claim."""
        self._row = row
        self._ledger = ledger
        self._is_first = is_first
        self._writes = 0
        self._held: ClaimRow = row
        self._revision = 0

    def start(self) -> Command:
        """Return the first command."""
        return self._write(0)

    def on_written(self, revision: int) -> Command:
        """Go on after the claim was written.

        :param revision: revision that the row has now.
        """
        return Dispatch(self._row, revision)

    def on_write_failed(self, problem: str, *, in_doubt: bool) -> Command:
        """Go on after the table did not confirm the write.

        :param problem: what went wrong.
        :param in_doubt: whether the claim may be written, now or later.
        """
        if in_doubt:
            return ReadRow()
        return self._give_up(problem)

    def on_read_failed(self, problem: str) -> Command:
        """Go on after the row could not be read, or was absent.

        :param problem: what went wrong.
        """
        return self._give_up(problem)

    def on_row_found(self, revision: int, held: ClaimRow | None) -> Command:
        """Go on after another row was found in the way, or read.

        :param revision: revision of that row.
        :param held: that row, or None if it has been removed.
        """
        if held is None:
            return self._write(0)
        if held.token == self._row.token:
            return Dispatch(self._row, revision)
        if held.digest != self._row.digest:
            return Finish(key_reused_result())
        self._held = held
        self._revision = revision
        if held.state == ClaimState.RAN:
            return _replay(held)
        if held.state == ClaimState.FREE or self._ledger.is_not_run(held.token):
            return self._replace_or_settle()
        return QueryClaimant(held.claimant, held.incarnation, held.token)

    def on_claimant_reply(self, result: RunResult) -> Command:
        """Go on after the claimant was asked.

        :param result: what the claimant told.
        """
        if result.outcome == Outcome.NOT_RUN:
            return self._replace_or_settle()
        return Finish(result)

    def _replace_or_settle(self) -> Command:
        if self._row.attempt > self._held.attempt:
            return self._write(self._revision)
        refusal = Refusal(
            Reason.SETTLED,
            f'sending {self._held.attempt} of the request was not run',
        )
        return Finish(RunResult(Outcome.NOT_RUN, refusal=refusal))

    def _write(self, expect: int) -> Command:
        if self._writes >= _MAX_WRITES:
            return self._give_up('the claim changed too often')
        self._writes += 1
        return WriteRow(expect)

    def _give_up(self, problem: str) -> Command:
        refusal = Refusal(Reason.STORE_UNAVAILABLE, problem, _RETRY_AFTER_S)
        outcome = Outcome.NOT_RUN if self._is_first else Outcome.UNKNOWN
        return Finish(RunResult(outcome, refusal=refusal))


def _replay(row: ClaimRow) -> Command:
    if row.object_key:
        return FetchResponse(row)
    answer = Response(row.status, row.content_type, row.body)
    return Finish(RunResult(Outcome.RAN, answer=answer))
