"""Attempts that one entry instance remembers."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once._model import Outcome, RunResult

MAX_ATTEMPTS: Final = 20_000


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
    :param number: number that the caller gave to the sending.
    :param state: where the attempt stands.
    :param result: what its caller is told, once it has ended.
    :param is_not_run: whether it ended without a run of its own.
    """

    token: str
    digest: str
    number: int
    state: AttemptState = AttemptState.CLAIMING
    result: RunResult | None = None
    is_not_run: bool = False


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Begin a new attempt."""


@dataclass(frozen=True, slots=True)
class WaitForAttempt:
    """Wait for the end of the attempt that is under way, then ask again."""

    token: str


@dataclass(frozen=True, slots=True)
class ReturnResult:
    """Tell a result that is known."""

    result: RunResult


Admission = StartAttempt | WaitForAttempt | ReturnResult


class AttemptRegistry:
    """The attempts of this entry instance by claim row key.

    :param max_attempts: attempts that are remembered after they ended.

    An attempt may be dispatched only between :meth:`begin_run` and
    :meth:`end`. An attempt that has ended is never dispatched again, so the
    ledger's word that it did not run is final.

    The oldest attempts that have ended are forgotten; the table then answers
    for them. Tokens that ended without a run are kept apart, since only they
    may be replaced by a new claim.
    """

    def __init__(self, max_attempts: int = MAX_ATTEMPTS) -> None:
        """Start without attempts."""
        self._max_attempts = max_attempts
        self._attempts: OrderedDict[str, Attempt] = OrderedDict()
        self._not_run: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of attempts that are remembered."""
        return len(self._attempts)

    def find(self, row_key: str) -> Attempt | None:
        """Return the latest attempt for a row key, or None."""
        return self._attempts.get(row_key)

    def admit(self, row_key: str, digest: str, number: int) -> Admission:
        """Return what to do with a sending.

        :param row_key: key of the claim row.
        :param digest: SHA-256 of the request.
        :param number: number that the caller gave to the sending.
        """
        known = self._attempts.get(row_key)
        if known is None:
            return StartAttempt()
        if known.result is None:
            return WaitForAttempt(known.token)
        same = known.digest == digest
        if not known.is_not_run:
            return ReturnResult(known.result if same else key_reused_result())
        was_told = known.result.outcome == Outcome.NOT_RUN
        if same and was_told and number <= known.number:
            return ReturnResult(known.result)
        return StartAttempt()

    def begin_claim(self, row_key: str, attempt: Attempt) -> None:
        """Record that a claim is about to be written.

        :param row_key: key of the claim row.
        :param attempt: the new attempt.
        :raises ValueError: if an attempt for the row key is still under way.
        """
        current = self._attempts.get(row_key)
        if current is not None and current.state != AttemptState.ENDED:
            raise ValueError(f'an attempt for {row_key} is under way')
        self._attempts[row_key] = attempt
        self._attempts.move_to_end(row_key)
        self._forget_oldest()

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
        if current is None or current.token != token:
            return
        dispatched = current.state == AttemptState.RUNNING
        is_not_run = not dispatched or result.outcome == Outcome.NOT_RUN
        if is_not_run:
            self._not_run[token] = None
        self._attempts[row_key] = replace(
            current,
            state=AttemptState.ENDED,
            result=result,
            is_not_run=is_not_run,
        )

    def is_not_run(self, token: str) -> bool:
        """Return whether the attempt is known to have ended without a run."""
        return token in self._not_run

    def current_result(self, row_key: str, token: str) -> RunResult:
        """Return what the caller of an attempt is told as of now.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        """
        attempt = self._attempts.get(row_key)
        if attempt is None or attempt.token != token:
            return claimant_lost_result()
        if attempt.result is None:
            refusal = Refusal(Reason.DEADLINE, 'the request still runs', 1)
            return RunResult(Outcome.UNKNOWN, refusal=refusal)
        return attempt.result

    def result_for_peer(self, row_key: str, token: str) -> RunResult:
        """Return what this claimant tells others of one of its attempts.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        """
        if self.is_not_run(token):
            refusal = Refusal(Reason.SETTLED, 'the claimant did not run it')
            return RunResult(Outcome.NOT_RUN, refusal=refusal)
        return self.current_result(row_key, token)

    def _forget_oldest(self) -> None:
        while len(self._attempts) > self._max_attempts:
            row_key, oldest = next(iter(self._attempts.items()))
            if oldest.state != AttemptState.ENDED:
                break
            self._attempts.pop(row_key)
        while len(self._not_run) > self._max_attempts:
            self._not_run.popitem(last=False)


def claimant_lost_result() -> RunResult:
    """Return the result of a claim whose claimant cannot tell."""
    refusal = Refusal(
        Reason.CLAIMANT_LOST,
        'the entry instance that claimed the request cannot tell',
    )
    return RunResult(Outcome.UNKNOWN, refusal=refusal)


def key_reused_result() -> RunResult:
    """Return the result of a request whose key belongs to another one."""
    refusal = Refusal(
        Reason.KEY_REUSED,
        'the key belongs to a request with another body',
    )
    return RunResult(Outcome.NOT_RUN, refusal=refusal)
