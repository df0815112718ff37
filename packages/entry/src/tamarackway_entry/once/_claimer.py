"""Claims a request in the table before it may be dispatched."""

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
    Held,
    WriteResult,
    Written,
)
from tamarackway_entry.once._joins import JoinService
from tamarackway_entry.platform import ObjectStore, StoreUnavailableError
from tamarackway_entry.routes import CallerRequest
from tamarackway_entry.telemetry import Metrics


class Claimer:
    """Claims requests.

    :param instance: name of this instance.
    :param incarnation: incarnation of this instance.
    :param registry: attempts of this instance.
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
        registry: AttemptRegistry,
        batcher: ClaimBatcher,
        joins: JoinService,
        objects: ObjectStore,
        metrics: Metrics,
    ) -> None:
        """Remember the parts."""
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
        key: str,
        attempt: Attempt,
        *,
        is_first: bool,
    ) -> Dispatch | RunResult:
        """Return the claim, or what the caller is told without one.

        :param request: the request.
        :param key: key of the claim row.
        :param attempt: the attempt.
        :param is_first: whether the caller says that it has not sent the
            request before.
        """
        row = ClaimRow(
            attempt.token,
            self._instance,
            self._incarnation,
            attempt.digest,
            attempt.number,
            ClaimState.CLAIMED,
        )
        protocol = ClaimProtocol(row, self._registry, is_first=is_first)
        command = protocol.start()
        while not isinstance(command, (Dispatch, Finish)):
            command = await self._obey(command, protocol, request, key, row)
        if isinstance(command, Dispatch):
            self._metrics.claims.labels('claimed').inc()
            return command
        self._metrics.claims.labels(command.result.outcome).inc()
        return command.result

    async def _obey(
        self,
        command: Command,
        protocol: ClaimProtocol,
        request: CallerRequest,
        key: str,
        row: ClaimRow,
    ) -> Command:
        if isinstance(command, WriteRow):
            written = await self._batcher.write(key, row, command.expect)
            return _report_write(protocol, written)
        if isinstance(command, QueryClaimant):
            deadline_s = request.deadline_s
            told = await self._joins.ask(key, command, deadline_s)
            return protocol.on_claimant_reply(told)
        if isinstance(command, FetchResponse):
            return Finish(await self._fetch(command.row))
        return await self._read(protocol, key)

    async def _read(self, protocol: ClaimProtocol, key: str) -> Command:
        try:
            held = await self._batcher.read(key)
        except StoreUnavailableError as error:
            return protocol.on_read_failed(error.problem)
        if held is None:
            return protocol.on_read_failed('the claim was not written in time')
        return protocol.on_row_found(held.revision, held.row)

    async def _fetch(self, row: ClaimRow) -> RunResult:
        try:
            body = await self._objects.get(row.object_key)
        except StoreUnavailableError as error:
            return _unknown(error.problem)
        if body is None:
            return _unknown('its answer is no longer stored')
        return RunResult(
            Outcome.RAN,
            Response(row.status, row.content_type, body),
        )


def _report_write(protocol: ClaimProtocol, written: WriteResult) -> Command:
    if isinstance(written, Written):
        return protocol.on_written(written.revision)
    if isinstance(written, Held):
        return protocol.on_row_found(written.revision, written.row)
    return protocol.on_write_failed(written.problem, in_doubt=written.in_doubt)


def _unknown(problem: str) -> RunResult:
    refusal = Refusal(Reason.STORE_UNAVAILABLE, problem, 1)
    return RunResult(Outcome.UNKNOWN, refusal=refusal)
