"""What to do about a claim row that another attempt has written."""

from dataclasses import dataclass

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once._ledger import ClaimLedger
from tamarackway_core.once._model import (
    Answer,
    ClaimRow,
    ClaimState,
    Outcome,
    RunResult,
)


@dataclass(frozen=True, slots=True)
class Replay:
    """Answer with a result that is already known."""

    result: RunResult


@dataclass(frozen=True, slots=True)
class Join:
    """Ask the claimant, which alone knows whether the request runs."""

    claimant: str
    incarnation: str
    token: str


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Replace the row, if it still holds the token, by a new claim."""

    token: str


@dataclass(frozen=True, slots=True)
class Blocked:
    """Refuse: the key belongs to another request."""

    refusal: Refusal


ClaimStep = Replay | Join | Reclaim | Blocked


def decide_on_row(
    row: ClaimRow,
    digest: str,
    ledger: ClaimLedger,
) -> ClaimStep:
    """Return the next step of a request whose row is already in the table.

    :param row: the row as the table holds it.
    :param digest: SHA-256 of the request.
    :param ledger: attempts of this entry instance.

    Only two things free a row: its own state, and the word of the claimant
    that the attempt ended without a run. An attempt that this entry instance
    has merely forgotten is not free.
    """
    if row.digest != digest:
        return Blocked(
            Refusal(Reason.KEY_REUSED, 'the key belongs to another request'),
        )
    if row.state == ClaimState.RAN:
        answer = Answer(row.status, row.content_type, row.body)
        return Replay(RunResult(Outcome.RAN, answer=answer))
    if row.state == ClaimState.FREE or ledger.is_not_run(row.token):
        return Reclaim(row.token)
    return Join(row.claimant, row.incarnation, row.token)
