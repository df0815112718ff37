"""Registry of attempts, kept in the memory of one entry instance."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once._model import Outcome, RunResult

MAX_ATTEMPTS: Final = 20_000


class AttemptState(enum.StrEnum):
    """State of an attempt in the registry of its claimant.

    The request is dispatched to targets only while the attempt is ``RUNNING``.
    """

    CLAIMING = 'claiming'
    RUNNING = 'running'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of this entry instance to serve a request.

    :param token: unique identifier of the attempt.
    :param digest: SHA-256 digest of the request.
    :param number: attempt number given by the caller.
    :param state: state of the attempt.
    :param result: result for its caller, once it has ended.
    :param is_not_run: whether it has ended and no target ran the request for
        it. Its result may still be that of another attempt, which ran.
    """

    token: str
    digest: str
    number: int
    state: AttemptState = AttemptState.CLAIMING
    result: RunResult | None = None
    is_not_run: bool = False


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start a new attempt."""


@dataclass(frozen=True, slots=True)
class WaitForAttempt:
    """Wait for the end of the current attempt, then ask for admission again."""

    token: str


@dataclass(frozen=True, slots=True)
class ReturnResult:
    """Return a known result."""

    result: RunResult


AdmissionDecision = StartAttempt | WaitForAttempt | ReturnResult


class AttemptRegistry:
    """Attempts of this entry instance by claim row key.

    :param max_attempts: number of attempts above which ended ones are evicted.

    An attempt may be dispatched only between :meth:`begin_run` and
    :meth:`end`. An ended attempt is never dispatched again, so once it is
    registered as not run, that is final.

    Ended attempts are evicted from the oldest on, up to the first one that has
    not ended; their results are then read from the table. Tokens of attempts
    that did not run are kept separately, since only their claims may be
    replaced.
    """

    def __init__(self, max_attempts: int = MAX_ATTEMPTS) -> None:
        """Start without attempts."""
        self._max_attempts = max_attempts
        self._attempts: OrderedDict[str, Attempt] = OrderedDict()
        self._not_run: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of registered attempts."""
        return len(self._attempts)

    def find(self, row_key: str) -> Attempt | None:
        """Return the latest attempt for a row key, or None."""
        return self._attempts.get(row_key)

    def admit(
        self, row_key: str, digest: str, number: int
    ) -> AdmissionDecision:
        """Return how to proceed with a submitted request.

        :param row_key: key of the claim row.
        :param digest: SHA-256 digest of the request.
        :param number: attempt number given by the caller.
        """
        known = self._attempts.get(row_key)
        if known is None:
            return StartAttempt()
        if known.result is None:
            return WaitForAttempt(known.token)
        same_request = known.digest == digest
        if not known.is_not_run:
            return ReturnResult(
                known.result if same_request else key_reused_result()
            )
        reported_not_run = known.result.outcome == Outcome.NOT_RUN
        if same_request and reported_not_run and number <= known.number:
            return ReturnResult(known.result)
        return StartAttempt()

    def begin_claim(self, row_key: str, attempt: Attempt) -> None:
        """Register an attempt before its claim is written.

        :param row_key: key of the claim row.
        :param attempt: the new attempt.
        :raises ValueError: if an attempt for the row key has not ended.
        """
        current = self._attempts.get(row_key)
        if current is not None and current.state != AttemptState.ENDED:
            raise ValueError(
                f'the previous attempt for {row_key} has not ended'
            )
        self._attempts[row_key] = attempt
        self._attempts.move_to_end(row_key)
        self._evict_oldest()

    def begin_run(self, row_key: str, token: str) -> bool:
        """Mark an attempt as running, and return whether it may be dispatched.

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
        """Record the end of an attempt.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        :param result: result for its caller, which may be that of another
            attempt if this one was never dispatched.
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
        """Return whether an attempt is known to have ended without a run."""
        return token in self._not_run

    def current_result(self, row_key: str, token: str) -> RunResult:
        """Return the result of an attempt as currently known.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        """
        attempt = self._attempts.get(row_key)
        if attempt is None or attempt.token != token:
            return claimant_lost_result()
        if attempt.result is None:
            refusal = Refusal(
                Reason.DEADLINE, 'the request is still running', 1
            )
            return RunResult(Outcome.UNKNOWN, refusal=refusal)
        return attempt.result

    def result_for_peer(self, row_key: str, token: str) -> RunResult:
        """Return the result of an attempt for a peer that asks its claimant.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        """
        if self.is_not_run(token):
            refusal = Refusal(
                Reason.SETTLED, 'the claimant did not run the request'
            )
            return RunResult(Outcome.NOT_RUN, refusal=refusal)
        return self.current_result(row_key, token)

    def _evict_oldest(self) -> None:
        while len(self._attempts) > self._max_attempts:
            row_key, oldest = next(iter(self._attempts.items()))
            if oldest.state != AttemptState.ENDED:
                break
            self._attempts.pop(row_key)
        while len(self._not_run) > self._max_attempts:
            self._not_run.popitem(last=False)


def claimant_lost_result() -> RunResult:
    """Return the result if the claimant does not know the result."""
    refusal = Refusal(
        Reason.CLAIMANT_LOST,
        'the entry instance that claimed the request does not know its result',
    )
    return RunResult(Outcome.UNKNOWN, refusal=refusal)


def key_reused_result() -> RunResult:
    """Return the result of a request that reuses the key of another one."""
    refusal = Refusal(
        Reason.KEY_REUSED,
        'the key was used for a different request',
    )
    return RunResult(Outcome.NOT_RUN, refusal=refusal)
