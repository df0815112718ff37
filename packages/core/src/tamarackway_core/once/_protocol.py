"""Protocol by which an attempt claims its request in the table."""

from dataclasses import dataclass
from typing import Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once._attempts import AttemptRegistry, key_reused_result
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
    """Write the claim on the condition that the row is unchanged.

    :param expect: expected revision of the row, or 0 if it must not exist.
    """

    expect: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row to find out whether the claim was written."""


@dataclass(frozen=True, slots=True)
class QueryClaimant:
    """Ask the claimant for its result; no other instance knows it."""

    claimant: str
    incarnation: str
    token: str


@dataclass(frozen=True, slots=True)
class FetchResponse:
    """Fetch the body of a stored response from the object store."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Dispatch the request, which this attempt has claimed.

    :param row: the claim as written.
    :param revision: revision of the row.
    :param history: history of the table to which that belongs.
    """

    row: ClaimRow
    revision: int
    history: int = 0


@dataclass(frozen=True, slots=True)
class Finish:
    """Return a result to the caller without dispatching the request."""

    result: RunResult


Command = WriteRow | ReadRow | QueryClaimant | FetchResponse | Dispatch | Finish


class ClaimProtocol:
    """State machine for the claim of one attempt.

    :param row: claim row to be written.
    :param is_first: whether the caller marked this as its first attempt. If so,
        a request that cannot be claimed has not run; otherwise an earlier
        attempt may have run it.
    :param registry: attempts of this entry instance.
    :param may_miss_claims: whether the table may have lost claims of this
        request, since it was restored from a copy after the first submission.
        Then only a response that the table holds is certain.

    Each method takes the result of the last command and returns the next one.
    A claim is replaced only if its request did not run, according to the row
    or the claimant, and only by an attempt with a higher number. A request
    that was reported as not run therefore stays so, even if an earlier attempt
    reaches another entry instance late.
    """

    def __init__(
        self,
        row: ClaimRow,
        registry: AttemptRegistry,
        *,
        is_first: bool,
        may_miss_claims: bool = False,
    ) -> None:
        """Start without a write."""
        self._may_miss_claims = may_miss_claims
        self._row = row
        self._registry = registry
        self._is_first = is_first
        self._writes = 0
        self._existing: ClaimRow = row
        self._revision = 0

    def start(self) -> Command:
        """Return the first command."""
        return ReadRow() if self._may_miss_claims else self._write(0)

    def on_history_changed(self) -> Command:
        """End the attempt, since the table was restored meanwhile.

        Revisions of the earlier history may belong to other rows now.
        """
        return self._give_up('the table was restored from a copy')

    def on_written(self, revision: int) -> Command:
        """Continue after the claim was written.

        :param revision: new revision of the row.
        """
        return Dispatch(self._row, revision)

    def on_write_failed(self, problem: str, *, in_doubt: bool) -> Command:
        """Continue after the write was not acknowledged.

        :param problem: description of the failure.
        :param in_doubt: whether the write may have been applied or may yet be.
        """
        if in_doubt:
            return ReadRow()
        return self._give_up(problem)

    def on_read_failed(self, problem: str) -> Command:
        """Continue after the row could not be read or was absent.

        :param problem: description of the failure.
        """
        return self._give_up(problem)

    def on_row_found(self, revision: int, existing: ClaimRow | None) -> Command:
        """Continue after a write conflict, or after the row was read.

        :param revision: revision of the existing row.
        :param existing: the row, or None if it was removed.
        """
        if existing is None:
            return self._write(0)
        if existing.token == self._row.token:
            return Dispatch(self._row, revision)
        if existing.digest != self._row.digest:
            return Finish(key_reused_result())
        self._existing = existing
        self._revision = revision
        if existing.state == ClaimState.RAN:
            return _return_stored(existing)
        if existing.state == ClaimState.FREE or self._registry.is_not_run(
            existing.token
        ):
            return self._replace_or_refuse()
        return QueryClaimant(
            existing.claimant, existing.incarnation, existing.token
        )

    def on_claimant_reply(self, result: RunResult) -> Command:
        """Continue after the claimant has replied.

        :param result: result reported by the claimant.
        """
        if result.outcome == Outcome.NOT_RUN:
            return self._replace_or_refuse()
        return Finish(result)

    def _replace_or_refuse(self) -> Command:
        if self._row.attempt > self._existing.attempt:
            return self._write(self._revision)
        refusal = Refusal(
            Reason.SETTLED,
            f'attempt {self._existing.attempt} of the request was not run',
        )
        return Finish(RunResult(Outcome.NOT_RUN, refusal=refusal))

    def _write(self, expect: int) -> Command:
        if self._may_miss_claims:
            return self._give_up('the table may have lost a later claim')
        if self._writes >= _MAX_WRITES:
            return self._give_up(
                'the claim row was changed concurrently too often'
            )
        self._writes += 1
        return WriteRow(expect)

    def _give_up(self, problem: str) -> Command:
        refusal = Refusal(Reason.STORE_UNAVAILABLE, problem, _RETRY_AFTER_S)
        outcome = Outcome.NOT_RUN if self._is_first else Outcome.UNKNOWN
        return Finish(RunResult(outcome, refusal=refusal))


def _return_stored(row: ClaimRow) -> Command:
    if row.object_key:
        return FetchResponse(row)
    answer = Response(row.status, row.content_type, row.body)
    return Finish(RunResult(Outcome.RAN, answer=answer))
