"""Claims a request in the table before it is dispatched."""

from dataclasses import replace

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once import (
    Attempt,
    AttemptRegistry,
    ClaimProtocol,
    ClaimRow,
    ClaimState,
    Command,
    Dispatch,
    FetchResponse,
    Finish,
    Outcome,
    QueryClaimant,
    Response,
    RunResult,
    WriteRow,
)

from tamarackway_entry.once._batcher import (
    ClaimBatcher,
    StoredClaim,
    WriteResult,
    Written,
)
from tamarackway_entry.once._joins import JoinService
from tamarackway_entry.platform import ObjectStore, StoreUnavailableError
from tamarackway_entry.routes import CallerRequest
from tamarackway_entry.telemetry import Metrics


class Claimer:
    """Runs the claim protocol for a request.

    :param instance: name of this instance.
    :param incarnation: incarnation of this instance.
    :param registry: attempts of this instance.
    :param batcher: reads and writes claim rows.
    :param joins: obtains results from other claimants.
    :param objects: store of responses that are too long for a claim row.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        registry: AttemptRegistry,
        batcher: ClaimBatcher,
        joins: JoinService,
        objects: ObjectStore,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._instance = instance
        self._incarnation = incarnation
        self._registry = registry
        self._batcher = batcher
        self._joins = joins
        self._objects = objects
        self._metrics = metrics

    async def claim(
        self,
        request: CallerRequest,
        row_key: str,
        attempt: Attempt,
        *,
        is_first: bool,
    ) -> Dispatch | RunResult:
        """Claim a request, or obtain its result if it must not be dispatched.

        :param request: the request.
        :param row_key: key of the claim row.
        :param attempt: the attempt.
        :param is_first: whether the caller declares this the first time that
            it sends the request.
        """
        row = ClaimRow(
            attempt.token,
            self._instance,
            self._incarnation,
            attempt.digest,
            attempt.number,
            ClaimState.CLAIMED,
        )
        history = self._batcher.history
        may_miss_claims = not is_first and self._batcher.may_miss(row_key)
        protocol = ClaimProtocol(
            row,
            self._registry,
            is_first=is_first,
            may_miss_claims=may_miss_claims,
        )
        command = protocol.start()
        while not isinstance(command, (Dispatch, Finish)):
            command = await self._execute(
                command, protocol, request, row_key, row
            )
            if self._batcher.history != history:
                command = protocol.on_history_changed()
        if isinstance(command, Dispatch):
            self._metrics.claims.labels('claimed').inc()
            return replace(command, history=history)
        self._metrics.claims.labels(command.result.outcome).inc()
        return command.result

    async def _execute(
        self,
        command: Command,
        protocol: ClaimProtocol,
        request: CallerRequest,
        row_key: str,
        row: ClaimRow,
    ) -> Command:
        if isinstance(command, WriteRow):
            result = await self._batcher.write(row_key, row, command.expect)
            return _report_write(protocol, result)
        if isinstance(command, QueryClaimant):
            deadline_s = request.deadline_s
            reply = await self._joins.request_result(
                row_key, command, deadline_s
            )
            return protocol.on_claimant_reply(reply)
        if isinstance(command, FetchResponse):
            return Finish(await self._fetch_response(command.row))
        return await self._read_claim(protocol, row_key)

    async def _read_claim(
        self, protocol: ClaimProtocol, row_key: str
    ) -> Command:
        try:
            stored = await self._batcher.read(row_key)
        except StoreUnavailableError as error:
            return protocol.on_read_failed(error.problem)
        if stored is None:
            return protocol.on_read_failed(
                'the claim write was not confirmed and the row is absent'
            )
        return protocol.on_row_found(stored.revision, stored.row)

    async def _fetch_response(self, row: ClaimRow) -> RunResult:
        try:
            body = await self._objects.get(row.object_key)
        except StoreUnavailableError as error:
            return _unknown(error.problem)
        if body is None:
            return _unknown('the stored response no longer exists')
        return RunResult(
            Outcome.RAN,
            Response(row.status, row.content_type, body),
        )


def _report_write(protocol: ClaimProtocol, result: WriteResult) -> Command:
    if isinstance(result, Written):
        return protocol.on_written(result.revision)
    if isinstance(result, StoredClaim):
        return protocol.on_row_found(result.revision, result.row)
    return protocol.on_write_failed(result.problem, in_doubt=result.in_doubt)


def _unknown(problem: str) -> RunResult:
    refusal = Refusal(Reason.STORE_UNAVAILABLE, problem, 1)
    return RunResult(Outcome.UNKNOWN, refusal=refusal)
