"""Attempts that one entry instance remembers."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once._model import Outcome, RunResult

_MAX_ATTEMPTS: Final = 20_000


class AttemptState(enum.StrEnum):
    """State of an attempt in the memory of its claimant."""

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of this entry instance.

    :param token: unique to the attempt.
    :param digest: SHA-256 of the request.
    :param state: where the attempt stands.
    :param result: how it ended, once it has.
    """

    token: str
    digest: str
    state: AttemptState
    result: RunResult | None = None


class ClaimLedger:
    """The attempts of this entry instance by claim row key.

    An attempt may be dispatched only between :meth:`begin_run` and
    :meth:`end`. An attempt that has ended is never dispatched again, so the
    ledger's word that it did not run is final.

    The oldest attempts that have ended are forgotten beyond a fixed number;
    the table then answers for them. Tokens that ended without a run are kept
    apart, since only they may be replaced by a new claim.
    """

    def __init__(self) -> None:
        """Start without attempts."""
        self._attempts: OrderedDict[str, Attempt] = OrderedDict()
        self._not_run: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of attempts that are remembered."""
        return len(self._attempts)

    def find(self, row_key: str) -> Attempt | None:
        """Return the latest attempt for a row key, or None."""
        return self._attempts.get(row_key)

    def begin_claim(self, row_key: str, token: str, digest: str) -> Attempt:
        """Record that a claim is about to be written.

        :param row_key: key of the claim row.
        :param token: token of the new attempt.
        :param digest: SHA-256 of the request.
        :raises ValueError: if an attempt for the row key is still under way.
        """
        current = self._attempts.get(row_key)
        if current is not None and current.state != AttemptState.ENDED:
            raise ValueError(f'an attempt for {row_key} is under way')
        attempt = Attempt(token, digest, AttemptState.CLAIMING)
        self._attempts[row_key] = attempt
        self._attempts.move_to_end(row_key)
        self._forget_oldest()
        return attempt

    def begin_run(self, row_key: str, token: str) -> bool:
        """Return whether the attempt may be dispatched, and record that.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        """
        current = self._attempts.get(row_key)
        if current is None or current.token != token:
            return False
        if current.state != AttemptState.CLAIMING:
            return False
        running = replace(current, state=AttemptState.RUNNING)
        self._attempts[row_key] = running
        return True

    def end(self, row_key: str, token: str, result: RunResult) -> None:
        """Record how an attempt ended.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        :param result: what its caller is told, which may be the result of
            another attempt if this one was never dispatched.
        """
        current = self._attempts.get(row_key)
        if current is not None and current.token == token:
            dispatched = current.state == AttemptState.RUNNING
            if not dispatched or result.outcome == Outcome.NOT_RUN:
                self._not_run[token] = None
            self._attempts[row_key] = replace(
                current,
                state=AttemptState.ENDED,
                result=result,
            )

    def is_not_run(self, token: str) -> bool:
        """Return whether the attempt is known to have ended without a run."""
        return token in self._not_run

    def _forget_oldest(self) -> None:
        while len(self._attempts) > _MAX_ATTEMPTS:
            row_key, oldest = next(iter(self._attempts.items()))
            if oldest.state != AttemptState.ENDED:
                break
            self._attempts.pop(row_key)
        while len(self._not_run) > _MAX_ATTEMPTS:
            self._not_run.popitem(last=False)


def lost_claimant() -> RunResult:
    """Return the result of a claim whose claimant cannot be asked."""
    return RunResult(
        Outcome.UNKNOWN,
        refusal=Refusal(
            Reason.CLAIMANT_LOST,
            'the entry instance that claimed the request cannot be reached',
        ),
    )
