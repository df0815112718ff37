"""Runs look-ups with a hedge and retries under one retry budget."""

from typing import Final

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once import Outcome, Response, RunResult
from tamarackway_core.routing import Choice, Verdict

from tamarackway_entry.http import (
    ConnectionLostError,
    HttpError,
    HttpResponse,
    NotSentError,
    WithdrawnError,
)
from tamarackway_entry.kernel import Clock
from tamarackway_entry.routes import CallerRequest, LossService, RouteService
from tamarackway_entry.targets import Dispatcher, ShedError
from tamarackway_entry.telemetry import Metrics, Tracing

_MAX_ATTEMPTS: Final = 4
_MIN_HEDGE_DELAY_S: Final = 0.002
_MIN_STALL_S: Final = 0.3
_STALL_FACTOR: Final = 5


class LookupRunner:
    """Runs look-ups with hedging and retries.

    :param routes: selects targets.
    :param losses: quarantines requests that crash targets.
    :param dispatcher: sends requests to targets.
    :param tracing: starts a span for each attempt.
    :param clock: clock of the daemon.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        routes: RouteService,
        losses: LossService,
        dispatcher: Dispatcher,
        tracing: Tracing,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self.routes = routes
        self.losses = losses
        self.dispatcher = dispatcher
        self.tracing = tracing
        self.clock = clock
        self.metrics = metrics

    async def look_up(
        self,
        request: CallerRequest,
        group: TaskGroup,
    ) -> RunResult:
        """Return the first complete response of a target.

        :param request: the request.
        :param group: task group for the attempts, cancelled by the caller.
        """
        if self.losses.is_quarantined(request):
            refusal = Refusal(
                Reason.QUARANTINED, 'targets crashed while running this request'
            )
            return RunResult(Outcome.UNKNOWN, refusal=refusal)
        first = await self.routes.acquire(request)
        if isinstance(first, Refusal):
            return RunResult(Outcome.NOT_RUN, refusal=first)
        router = self.routes.router(request.rule.service)
        router.budget.earn()
        trial = self.routes.try_acquire_trial(request)
        if trial is not None:
            self.routes.run_in_background(self._run_trial, request, trial)
        return await _HedgedRequest(self, request).run(first, group)

    async def _run_trial(self, request: CallerRequest, trial: Choice) -> None:
        """Send a duplicate to an ejected target to measure its latency."""
        service = request.rule.service
        self.metrics.attempts.labels(service, 'trial').inc()
        started_s = self.clock.now_s()
        outgoing = request.to_target(max(request.deadline_s - started_s, 0))
        verdict = Verdict.CANCELLED
        try:
            await self.dispatcher.send(trial.target, outgoing)
            verdict = Verdict.ANSWERED
        except WithdrawnError:
            verdict = Verdict.CANCELLED
        except ShedError:
            verdict = Verdict.SHED
        except HttpError:
            verdict = Verdict.LOST
        finally:
            latency_s = self.clock.now_s() - started_s
            self.routes.release(request, trial, latency_s, verdict)


class _HedgedRequest:
    """Attempts of one look-up; the first response is returned."""

    def __init__(self, runner: LookupRunner, request: CallerRequest) -> None:
        self._runner = runner
        self._request = request
        self._router = runner.routes.router(request.rule.service)
        self._tried: list[str] = []
        self._in_flight = 0
        self._possible_runs = 0
        self._response: HttpResponse | None = None
        self._failure: Refusal | None = None
        self._settled = anyio.Event()

    async def run(self, first: Choice, group: TaskGroup) -> RunResult:
        remaining_s = self._request.deadline_s - self._runner.clock.now_s()
        with anyio.move_on_after(max(remaining_s, 0)):
            self._start(group, first, 'first')
            await self._hedge(group)
            if self._response is None:
                await self._wait_or_retry(group)
        return self._build_result()

    async def _hedge(self, group: TaskGroup) -> None:
        delay_s = self._router.hedge_delay_s() or _MIN_STALL_S
        with anyio.move_on_after(max(delay_s, _MIN_HEDGE_DELAY_S)):
            await self._settled.wait()
        if not self._settled.is_set():
            self._start_another(group, 'hedge')

    async def _wait_or_retry(self, group: TaskGroup) -> None:
        while self._response is None:
            with anyio.move_on_after(self._stall_s()):
                await self._settled.wait()
            if self._response is not None or not self._may_retry():
                break
            self._settled = anyio.Event()
            started = self._start_another(group, 'retry')
            if not started and not self._in_flight:
                return
        await self._settled.wait()

    def _stall_s(self) -> float:
        """Return how long an attempt may make no progress before a retry."""
        delay_s = self._router.hedge_delay_s() or 0
        return max(delay_s * _STALL_FACTOR, _MIN_STALL_S)

    def _may_retry(self) -> bool:
        if self._request.caller.has_left():
            return False
        return len(self._tried) < _MAX_ATTEMPTS and not (
            self._runner.losses.is_quarantined(self._request)
        )

    def _start_another(self, group: TaskGroup, kind: str) -> bool:
        budget = self._router.budget
        spend = budget.spend_on_retry
        if kind == 'hedge':
            spend = budget.spend_on_hedge
        if not spend():
            return False
        routes = self._runner.routes
        choice = routes.try_acquire(self._request, self._tried)
        if choice is None:
            return False
        self._start(group, choice, kind)
        return True

    def _start(self, group: TaskGroup, choice: Choice, kind: str) -> None:
        service = self._request.rule.service
        self._runner.metrics.attempts.labels(service, kind).inc()
        if kind != 'first':
            now_s = self._runner.clock.now_s()
            self._request.decision.add_step(now_s, f'this attempt is a {kind}')
        self._tried.append(choice.target.name)
        self._in_flight += 1
        group.start_soon(self._attempt, choice, kind != 'first')

    async def _attempt(self, choice: Choice, fresh: bool) -> None:
        started_s = self._runner.clock.now_s()
        verdict = Verdict.CANCELLED
        try:
            verdict = await self._send(choice, fresh=fresh)
        finally:
            self._finish(choice, started_s, verdict)
            if verdict == Verdict.CANCELLED and self._has_stalled(started_s):
                await self._runner.dispatcher.close_idle_connections(
                    choice.target
                )
        if self._response is not None or not self._in_flight:
            self._settled.set()

    def _has_stalled(self, started_s: float) -> bool:
        return self._runner.clock.now_s() - started_s >= _MIN_STALL_S

    def _finish(
        self,
        choice: Choice,
        started_s: float,
        verdict: Verdict,
    ) -> None:
        latency_s = self._runner.clock.now_s() - started_s
        self._runner.routes.release(self._request, choice, latency_s, verdict)
        self._in_flight -= 1

    async def _send(self, choice: Choice, *, fresh: bool) -> Verdict:
        request = self._request
        now_s = self._runner.clock.now_s()
        outgoing = request.to_target(request.deadline_s - now_s)
        name = choice.target.name
        with self._runner.tracing.start('target', request.headers) as span:
            span.set_attribute('target', name)
            self._runner.tracing.inject(outgoing.headers)
            self._possible_runs += 1
            try:
                response = await self._runner.dispatcher.send(
                    choice.target,
                    outgoing,
                    fresh=fresh,
                )
            except HttpError as error:
                return self._evaluate_error(choice, error)
        self._response = response
        self._request.decision.add_step(
            self._runner.clock.now_s(),
            f'{name} answered with status {response.status}',
        )
        return Verdict.ANSWERED

    def _evaluate_error(self, choice: Choice, error: HttpError) -> Verdict:
        """Record why an attempt failed, and return how it ended."""
        if isinstance(error, (ShedError, NotSentError)):
            self._possible_runs -= 1
        if isinstance(error, WithdrawnError):
            return Verdict.CANCELLED
        if isinstance(error, ShedError):
            self._record_failure(Reason.TARGET_SHED, error)
            return Verdict.SHED
        if isinstance(error, NotSentError):
            self._record_failure(Reason.TARGET_UNREACHABLE, error)
            return Verdict.LOST
        self._record_failure(Reason.TARGET_LOST, error)
        if isinstance(error, ConnectionLostError):
            self._runner.losses.report(self._request, choice.target)
        return Verdict.LOST

    def _record_failure(self, reason: Reason, error: HttpError) -> None:
        self._failure = Refusal(reason, str(error), 1)
        now_s = self._runner.clock.now_s()
        self._request.decision.add_step(now_s, f'{reason}: {error}')

    def _build_result(self) -> RunResult:
        if self._response is not None:
            content_type = self._response.headers.get('content-type', '')
            return RunResult(
                Outcome.RAN,
                Response(
                    self._response.status, content_type, self._response.body
                ),
            )
        failure = self._failure
        if failure is None:
            failure = Refusal(Reason.DEADLINE, 'no target answered in time')
        outcome = Outcome.UNKNOWN if self._possible_runs else Outcome.NOT_RUN
        return RunResult(outcome, refusal=failure)
