"""ASGI application that serves callers."""

from typing import Final

import anyio
import uuid6
from anyio.abc import TaskGroup
from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once import (
    Outcome,
    RunResult,
    claim_row_key,
    parse_key,
)

from tamarackway_entry.callers._advice import EntryDiscovery
from tamarackway_entry.callers._answers import (
    Message,
    Receive,
    Send,
    send_json,
    send_result,
)
from tamarackway_entry.callers._parse import (
    ATTEMPT_HEADER,
    SERVICES_PREFIX,
    RequestParser,
    read_headers,
)
from tamarackway_entry.decisions import DecisionLog
from tamarackway_entry.kernel import Clock
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.lookups import LookupRunner
from tamarackway_entry.once import AtMostOnceRunner
from tamarackway_entry.plans import PlanService
from tamarackway_entry.routes import CallerRequest
from tamarackway_entry.telemetry import Metrics, Tracing, component_logger

_MAX_SHOWN: Final = 64
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_log = component_logger('callers')


class CallerApp:
    """Serves requests of callers.

    :param parser: parses and validates requests.
    :param discovery: ranks the instances that callers may use.
    :param plans: the plan in force.
    :param lookups: runs idempotent requests.
    :param once: executes requests with at-most-once semantics.
    :param decisions: log of routing decisions for ``explain``.
    :param lifecycle: state of this instance.
    :param tracing: starts spans.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        *,
        parser: RequestParser,
        discovery: EntryDiscovery,
        plans: PlanService,
        lookups: LookupRunner,
        once: AtMostOnceRunner,
        decisions: DecisionLog,
        lifecycle: Lifecycle,
        tracing: Tracing,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._parser = parser
        self._discovery = discovery
        self._plans = plans
        self._lookups = lookups
        self._once = once
        self._decisions = decisions
        self._lifecycle = lifecycle
        self._tracing = tracing
        self._clock = clock
        self._metrics = metrics

    async def __call__(
        self,
        scope: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        if scope['path'].startswith(SERVICES_PREFIX):
            with self._lifecycle.track_request():
                await self._serve(scope, receive, send)
        else:
            await self._serve_auxiliary(scope, send)

    async def _serve_auxiliary(self, scope: Message, send: Send) -> None:
        path = scope['path']
        if path == '/v1/entries':
            await self._send_advice(scope, send)
        elif path == '/v1/keys' and scope['method'] == 'POST':
            await send_json(send, _CREATED, {'key': str(uuid6.uuid7())})
        elif path == '/livez':
            await send_json(send, _OK, {'status': 'live'})
        elif path == '/readyz':
            await self._send_readiness(send)
        else:
            await send_json(
                send,
                _NOT_FOUND,
                {
                    'error': 'unknown-path',
                    'detail': f'there is nothing at {path[:_MAX_SHOWN]!r}',
                    'remedy': 'see docs/CALLERS.md for the paths',
                },
            )

    async def _serve(
        self,
        scope: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        await self._plans.wait_confirmed()
        received_s = self._clock.now_s()
        request = await self._parser.parse(scope, receive)
        close = self._lifecycle.is_leaving
        if isinstance(request, Refusal):
            outcome = _outcome_of_refusal(scope)
            refused = RunResult(outcome, refusal=request)
            self._record_metrics('-', refused, received_s)
            await send_result(send, refused, '-', close=close)
            return
        with self._tracing.start('entry', request.headers) as span:
            span.set_attribute('request_id', request.request_id)
            span.set_attribute('service', request.rule.service)
            result = await self._run(request, receive)
            span.set_attribute('outcome', result.outcome)
        self._record_result(request, result, received_s)
        await send_result(send, result, request.request_id, close=close)

    async def _run(self, request: CallerRequest, receive: Receive) -> RunResult:
        if request.rule.once:
            key = parse_key(
                request.headers.get('idempotency-key', ''),
                self._clock.time_s(),
            )
            if isinstance(key, Refusal):
                return _refuse_key(key)
            row_key = claim_row_key(request.rule.service, key)
            return await self._once.execute(request, row_key)
        result = RunResult(Outcome.UNKNOWN)
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group)
            result = await self._lookups.look_up(request, group)
            group.cancel_scope.cancel()
        return result

    def _record_result(
        self,
        request: CallerRequest,
        result: RunResult,
        received_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        refusal = result.refusal
        cause = f' ({refusal.reason}: {refusal.detail})' if refusal else ''
        request.decision.add_step(
            now_s,
            f'the caller was told: {result.outcome}{cause}',
        )
        self._decisions.add(request.decision)
        self._record_metrics(request.rule.service, result, received_s)

    def _record_metrics(
        self,
        service: str,
        result: RunResult,
        received_s: float,
    ) -> None:
        elapsed_s = self._clock.now_s() - received_s
        histogram = self._metrics.latency_s.labels(
            service,
            service,
            result.outcome,
        )
        histogram.observe(elapsed_s)
        if result.refusal is not None:
            reason = result.refusal.reason
            self._metrics.refusals.labels(service, reason).inc()

    async def _send_advice(self, scope: Message, send: Send) -> None:
        advice = self._discovery.describe(scope['query_string'])
        lifetime = f'max-age={int(self._discovery.lifetime_s)}'
        headers = [(b'cache-control', lifetime.encode())]
        await send_json(send, _OK, advice, headers)

    async def _send_readiness(self, send: Send) -> None:
        problem = ''
        if not self._plans.is_ready:
            problem = 'no plan was learnt from the table or from a peer yet'
        elif self._lifecycle.is_leaving:
            problem = 'the instance is leaving'
        if problem:
            document = {'status': 'not ready', 'detail': problem}
            await send_json(send, _UNAVAILABLE, document)
        else:
            await send_json(send, _OK, {'status': 'ready'})


def _outcome_of_refusal(scope: Message) -> Outcome:
    """Return the outcome of a request that is refused before it is claimed.

    A retry of a request with a key may be running on another instance, so
    its outcome is unknown.
    """
    headers = read_headers(scope)
    is_first = headers.get(ATTEMPT_HEADER) == '1'
    if 'idempotency-key' in headers and not is_first:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


def _refuse_key(refusal: Refusal) -> RunResult:
    expired = refusal.reason == Reason.KEY_EXPIRED
    outcome = Outcome.UNKNOWN if expired else Outcome.NOT_RUN
    return RunResult(outcome, refusal=refusal)


async def _cancel_on_disconnect(receive: Receive, group: TaskGroup) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            _log.debug('A caller disconnected before its response was sent.')
            group.cancel_scope.cancel()
            return
