"""Claims a request in the table before it may be dispatched."""

from dataclasses import dataclass
from typing import Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once import (
    Answer,
    Blocked,
    ClaimLedger,
    ClaimRow,
    ClaimState,
    Join,
    Outcome,
    Replay,
    RunResult,
    decide_on_row,
)

from tamarackway_entry.once._batcher import (
    ClaimBatcher,
    Failed,
    Held,
    Written,
)
from tamarackway_entry.once._joins import JoinService
from tamarackway_entry.platform import ObjectStore, StoreUnavailableError
from tamarackway_entry.routes import CallerRequest
from tamarackway_entry.telemetry import Metrics

_MAX_ROUNDS: Final = 5
_RETRY_AFTER_S: Final = 1


@dataclass(frozen=True, slots=True)
class Claimed:
    """The row holds this attempt's claim, so it may be dispatched.

    :param row: the claim.
    :param revision: revision of the row.
    """

    row: ClaimRow
    revision: int


@dataclass(frozen=True, slots=True)
class _Again:
    """The row may be replaced if it still has this revision."""

    revision: int


class Claimer:
    """Claims requests.

    :param instance: name of this instance.
    :param incarnation: incarnation of this instance.
    :param ledger: attempts of this instance.
    :param batcher: writes claims.
    :param joins: asks other claimants.
    :param objects: holds long answers.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        ledger: ClaimLedger,
        batcher: ClaimBatcher,
        joins: JoinService,
        objects: ObjectStore,
        metrics: Metrics,
    ) -> None:
        """Remember the parts."""
        self._instance = instance
        self._incarnation = incarnation
        self._ledger = ledger
        self._batcher = batcher
        self._joins = joins
        self._objects = objects
        self._metrics = metrics

    async def claim(
        self,
        request: CallerRequest,
        key: str,
        token: str,
    ) -> Claimed | RunResult:
        """Return the claim, or what the caller is told without one.

        :param request: the request.
        :param key: key of the claim row.
        :param token: token of the attempt.
        """
        row = ClaimRow(
            token,
            self._instance,
            self._incarnation,
            request.digest,
            ClaimState.CLAIMED,
        )
        step: Claimed | RunResult | _Again = _Again(0)
        for _ in range(_MAX_ROUNDS):
            if not isinstance(step, _Again):
                break
            step = await self._write(request, key, row, step.revision)
        if isinstance(step, _Again):
            step = _not_run('the claim changed too often')
        self._count(step)
        return step

    async def _write(
        self,
        request: CallerRequest,
        key: str,
        row: ClaimRow,
        expect: int,
    ) -> Claimed | RunResult | _Again:
        written = await self._batcher.write(key, row, expect)
        if isinstance(written, Written):
            return Claimed(row, written.revision)
        if isinstance(written, Failed):
            if not written.in_doubt:
                return _not_run(written.problem)
            return await self._resolve_doubt(request, key, row)
        return await self._consider(request, key, row, written)

    async def _resolve_doubt(
        self,
        request: CallerRequest,
        key: str,
        row: ClaimRow,
    ) -> Claimed | RunResult | _Again:
        try:
            held = await self._batcher.read(key)
        except StoreUnavailableError as error:
            return _not_run(error.problem)
        if held is None:
            return _not_run('the claim was not written in time')
        return await self._consider(request, key, row, held)

    async def _consider(
        self,
        request: CallerRequest,
        key: str,
        row: ClaimRow,
        held: Held,
    ) -> Claimed | RunResult | _Again:
        if held.row is None:
            return _Again(0)
        if held.row.token == row.token:
            return Claimed(row, held.revision)
        step = decide_on_row(held.row, request.digest, self._ledger)
        result: RunResult | None = None
        if isinstance(step, Replay):
            result = await self._replay(held.row, step.result)
        elif isinstance(step, Blocked):
            result = RunResult(Outcome.NOT_RUN, refusal=step.refusal)
        elif isinstance(step, Join):
            result = await self._ask_claimant(request, key, step)
        return result or _Again(held.revision)

    async def _ask_claimant(
        self,
        request: CallerRequest,
        key: str,
        step: Join,
    ) -> RunResult | None:
        """Return the claimant's result, or None if its attempt did not run."""
        result = await self._joins.join(key, step, request.deadline_s)
        return None if result.outcome == Outcome.NOT_RUN else result

    async def _replay(self, row: ClaimRow, result: RunResult) -> RunResult:
        if not row.object_key:
            return result
        try:
            body = await self._objects.get(row.object_key)
        except StoreUnavailableError as error:
            return _unknown(error.problem)
        if body is None:
            return _unknown('its answer is no longer stored')
        answer = Answer(row.status, row.content_type, body)
        return RunResult(Outcome.RAN, answer)

    def _count(self, step: Claimed | RunResult) -> None:
        kind = 'claimed' if isinstance(step, Claimed) else step.outcome
        self._metrics.claims.labels(kind).inc()


def _not_run(problem: str) -> RunResult:
    refusal = Refusal(Reason.STORE_UNAVAILABLE, problem, _RETRY_AFTER_S)
    return RunResult(Outcome.NOT_RUN, refusal=refusal)


def _unknown(problem: str) -> RunResult:
    refusal = Refusal(Reason.STORE_UNAVAILABLE, problem, _RETRY_AFTER_S)
    return RunResult(Outcome.UNKNOWN, refusal=refusal)
