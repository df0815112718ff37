"""Executes a request at most once: claim, dispatch, record."""

import uuid
from dataclasses import replace
from typing import Final

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once import (
    Attempt,
    AttemptRegistry,
    Dispatch,
    Outcome,
    Response,
    ReturnResult,
    RunResult,
    WaitForAttempt,
)
from tamarackway_core.routing import Choice, Verdict

from tamarackway_entry.http import ConnectionLostError, HttpError, NotSentError
from tamarackway_entry.kernel import Clock
from tamarackway_entry.once._claimer import Claimer
from tamarackway_entry.once._joins import AttemptTracker, JoinService
from tamarackway_entry.once._recorder import OutcomeRecorder
from tamarackway_entry.routes import CallerRequest, LossService, RouteService
from tamarackway_entry.targets import Dispatcher, ShedError
from tamarackway_entry.telemetry import Metrics, Tracing

_MAX_TARGETS_PER_ATTEMPT: Final = 3
# A response after the deadline of the caller still determines the outcome.
_RESPONSE_GRACE_S: Final = 10.0
_RETRY_AFTER_S: Final = 1


class AtMostOnceRunner:
    """Executes requests with at-most-once semantics.

    :param registry: attempts of this instance.
    :param attempts: signals the completion of local attempts.
    :param claimer: claims requests.
    :param recorder: persists outcomes.
    :param joins: waits for local attempts.
    :param routes: chooses targets.
    :param losses: identifies requests that crash targets.
    :param dispatcher: sends requests to targets.
    :param tracing: starts a span for each hop.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        *,
        registry: AttemptRegistry,
        attempts: AttemptTracker,
        claimer: Claimer,
        recorder: OutcomeRecorder,
        joins: JoinService,
        routes: RouteService,
        losses: LossService,
        dispatcher: Dispatcher,
        tracing: Tracing,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._registry = registry
        self._attempts = attempts
        self._claimer = claimer
        self._recorder = recorder
        self._joins = joins
        self._routes = routes
        self._losses = losses
        self._dispatcher = dispatcher
        self._tracing = tracing
        self._clock = clock
        self._metrics = metrics
        self._group: TaskGroup | None = None
        self._active = 0

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is being executed."""
        return not self._active

    async def run(self) -> None:
        """Host the attempts, which continue when their callers disconnect."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def execute(self, request: CallerRequest, row_key: str) -> RunResult:
        """Execute a request at most once and return its result.

        :param request: the request.
        :param row_key: key of its claim row.
        """
        if self._losses.is_quarantined(request):
            refusal = Refusal(
                Reason.QUARANTINED, 'targets crashed while running this request'
            )
            return RunResult(Outcome.UNKNOWN, refusal=refusal)
        attempt_number = request.attempt or 1
        admission = self._registry.admit(
            row_key, request.digest, attempt_number
        )
        while isinstance(admission, WaitForAttempt):
            await self._joins.wait_for_end(admission.token, request.deadline_s)
            if self._clock.now_s() >= request.deadline_s:
                refusal = Refusal(
                    Reason.DEADLINE, 'the request is still running', 1
                )
                return RunResult(Outcome.UNKNOWN, refusal=refusal)
            admission = self._registry.admit(
                row_key, request.digest, attempt_number
            )
        if isinstance(admission, ReturnResult):
            return admission.result
        return await self._attempt(request, row_key, attempt_number)

    async def _attempt(
        self,
        request: CallerRequest,
        row_key: str,
        attempt_number: int,
    ) -> RunResult:
        attempt = Attempt(str(uuid.uuid4()), request.digest, attempt_number)
        if self._group is None:
            refusal = Refusal(Reason.STOPPING, 'the instance is starting', 1)
            return RunResult(Outcome.UNKNOWN, refusal=refusal)
        self._registry.begin_claim(row_key, attempt)
        self._attempts.begin(attempt.token)
        self._group.start_soon(self._run_attempt, request, row_key, attempt)
        return await self._joins.wait_for_result(
            row_key,
            attempt.token,
            request.deadline_s,
        )

    async def _run_attempt(
        self,
        request: CallerRequest,
        row_key: str,
        attempt: Attempt,
    ) -> None:
        result = RunResult(
            Outcome.UNKNOWN,
            refusal=Refusal(Reason.TARGET_LOST, 'the attempt was interrupted'),
        )
        claim_result: Dispatch | RunResult | None = None
        self._active += 1
        try:
            with self._tracing.start('claim', request.headers):
                claim_result = await self._claimer.claim(
                    request,
                    row_key,
                    attempt,
                    is_first=request.attempt == 1,
                )
            if isinstance(claim_result, Dispatch):
                result = await self._dispatch(request, row_key, attempt.token)
            else:
                result = claim_result
        finally:
            self._finish_attempt(row_key, attempt.token, result)
        if isinstance(claim_result, Dispatch):
            self._recorder.record(row_key, claim_result, result)

    def _finish_attempt(
        self, row_key: str, token: str, result: RunResult
    ) -> None:
        self._registry.end(row_key, token, result)
        self._attempts.end(token)
        self._active -= 1

    async def _dispatch(
        self,
        request: CallerRequest,
        row_key: str,
        token: str,
    ) -> RunResult:
        """Try targets in turn until one may have run the request."""
        if not self._registry.begin_run(row_key, token):
            return _not_run(
                Reason.DEADLINE, 'the attempt was abandoned before its dispatch'
            )
        tried: list[str] = []
        result = _not_run(Reason.NO_TARGET, 'no target was tried')
        while len(tried) < _MAX_TARGETS_PER_ATTEMPT:
            choice = await self._routes.acquire(request, tried)
            if isinstance(choice, Refusal):
                return RunResult(Outcome.NOT_RUN, refusal=choice)
            tried.append(choice.target.name)
            result = await self._try_target(request, choice)
            if result.outcome != Outcome.NOT_RUN:
                break
        return result

    async def _try_target(
        self,
        request: CallerRequest,
        choice: Choice,
    ) -> RunResult:
        started_s = self._clock.now_s()
        service = request.rule.service
        self._metrics.attempts.labels(service, 'first').inc()
        verdict = Verdict.CANCELLED
        try:
            verdict, result = await self._send(request, choice)
        finally:
            latency_s = self._clock.now_s() - started_s
            self._routes.release(request, choice, latency_s, verdict)
        summary = result.refusal.detail if result.refusal else 'answered'
        request.decision.add_step(
            self._clock.now_s(),
            f'{choice.target.name}: {result.outcome}, {summary}',
        )
        return result

    async def _send(
        self,
        request: CallerRequest,
        choice: Choice,
    ) -> tuple[Verdict, RunResult]:
        """Send the request to a target and classify how the attempt ended.

        Only a refusal by the target or a failure before anything was sent
        shows that the request was not run. After any other failure the
        outcome is unknown.
        """
        remaining_s = request.deadline_s - self._clock.now_s()
        if remaining_s <= 0:
            late = _not_run(
                Reason.DEADLINE,
                'the deadline passed before the request was sent',
            )
            return Verdict.CANCELLED, late
        outgoing = request.to_target(remaining_s)
        outgoing = replace(outgoing, timeout_s=remaining_s + _RESPONSE_GRACE_S)
        with self._tracing.start('target', request.headers) as span:
            span.set_attribute('target', choice.target.name)
            self._tracing.inject(outgoing.headers)
            try:
                http_response = await self._dispatcher.send(
                    choice.target,
                    outgoing,
                    fresh=True,  # a failed connect shows it was not sent
                )
            except ShedError as error:
                return Verdict.SHED, _not_run(Reason.TARGET_SHED, str(error))
            except NotSentError as error:
                refused = _not_run(Reason.TARGET_UNREACHABLE, str(error))
                return Verdict.LOST, refused
            except HttpError as error:
                if isinstance(error, ConnectionLostError):
                    self._losses.report(request, choice.target)
                lost = Refusal(Reason.TARGET_LOST, str(error))
                return Verdict.LOST, RunResult(Outcome.UNKNOWN, refusal=lost)
        content_type = http_response.headers.get('content-type', '')
        response = Response(
            http_response.status, content_type, http_response.body
        )
        return Verdict.ANSWERED, RunResult(Outcome.RAN, response)


def _not_run(reason: Reason, detail: str) -> RunResult:
    refusal = Refusal(reason, detail, _RETRY_AFTER_S)
    return RunResult(Outcome.NOT_RUN, refusal=refusal)
