"""Decides on one request until it has an answer."""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import (
    Candidate,
    Route,
    ServicePolicy,
    TargetQuery,
    pick_service,
)

from tamarackway_entry.forwarding._model import (
    ForwardRequest,
    ForwardResponse,
    Origin,
)
from tamarackway_entry.forwarding._sender import (
    Attempt,
    TargetSender,
    Verdict,
)
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.upstream import Response

_NOT_FOUND: Final = 404
_NO_ROUTE: Final = ForwardResponse(
    _NOT_FOUND,
    Origin.FAILURE,
    reason='no route matches',
)
_BAD_GATEWAY: Final = 502
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
_RETRY_AFTER_S: Final = 0.2  # a target usually frees a slot within that time
_FINGERPRINT_BYTES: Final = 16
_START_RETRY_S: Final = 0.5
_START_WAIT_S: Final = 0.5  # a fresh instance is ready within that time
_START_SHARE: Final = 0.25  # of the caller's patience
_LEAST_LEFT_S: Final = 0.02  # less cannot bring an answer back


@dataclass(slots=True)
class RequestContext:
    """One request on its way, and what was tried for it.

    :param request: the request.
    :param route: its route.
    :param wish: what it wants of a target.
    :param ends_s: monotonic time at which it must have its answer.
    :param gone: set once the caller has left.
    :param tried: targets that got it or could not.
    :param sent: targets that it was sent to.
    :param may_have_run: whether one of them may have run it.
    :param failed: answer of a target that failed it, unless a better comes.
    :param trail: what was tried, for logs.
    """

    request: ForwardRequest
    route: Route
    wish: TargetQuery
    ends_s: float
    gone: anyio.Event
    tried: set[str] = field(default_factory=set)
    sent: int = 0
    may_have_run: bool = False
    failed: ForwardResponse | None = None
    trail: list[str] = field(default_factory=list)


Record = Callable[
    [ForwardRequest, ForwardResponse, RequestContext | None], None
]


class Forwarder:
    """Forwards requests to targets.

    :param state: what this instance knows.
    :param sender: sends requests to targets.
    :param clock: clocks of the daemon.
    :param record: is told how each request ended.
    """

    def __init__(
        self,
        state: SteeringState,
        sender: TargetSender,
        clock: Clock,
        record: Record,
    ) -> None:
        """Remember the parts."""
        self._state = state
        self._sender = sender
        self._clock = clock
        self._record = record

    async def serve(
        self,
        request: ForwardRequest,
        gone: anyio.Event,
    ) -> ForwardResponse:
        """Return the answer to a request.

        :param request: the request.
        :param gone: set once the caller has left. Then nothing more is sent
            to targets, and what may run twice is stopped there.
        """
        await self._wait_until_ready(request)
        route = self._state.routes.find(request.host, request.path)
        refusal = self._refuse_early(request, route)
        if refusal is not None or route is None:
            answer = refusal or _NO_ROUTE
            self._record(request, answer, None)
            return answer
        context = self._begin(request, route, gone)
        answer = await self._pass_on(context)
        self._record(request, answer, context)
        return answer

    def describe_loss(self, context: RequestContext, chosen: Candidate) -> Loss:
        """Return what to report if a target died of a request.

        :param context: the request on its way.
        :param chosen: the target.
        """
        return Loss(
            _fingerprint(context.request),
            chosen.record.name,
            chosen.record.incarnation,
        )

    async def _wait_until_ready(self, request: ForwardRequest) -> None:
        """Wait a moment for a fresh instance to learn its configuration."""
        if not self._state.ready.is_set():
            with anyio.move_on_after(
                min(_START_WAIT_S, request.timeout_s * _START_SHARE),
            ):
                await self._state.ready.wait()

    def _refuse_early(
        self,
        request: ForwardRequest,
        route: Route | None,
    ) -> ForwardResponse | None:
        if self._state.configuration is None:
            return _refuse('no configuration is known yet', _START_RETRY_S)
        if route is None:
            return _NO_ROUTE
        digest = _fingerprint(request)
        if self._state.quarantine.is_quarantined(digest, self._clock.now_s()):
            return _refuse('targets died while they ran this request', 0)
        return None

    def _begin(
        self,
        request: ForwardRequest,
        route: Route,
        gone: anyio.Event,
    ) -> RequestContext:
        service = pick_service(route.shares, random.random())  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        now_s = self._clock.now_s()
        self._state.demand.count(service, now_s)
        self._state.budget(service).count_request(now_s)
        wish = TargetQuery(
            service,
            request.affinity_key if route.sticky else '',
            route.home_regions,
            request.request_id,
        )
        limit_s = min(route.timeout_s, request.timeout_s)
        ends_s = request.received_s + limit_s
        return RequestContext(request, route, wish, ends_s, gone)

    async def _pass_on(self, context: RequestContext) -> ForwardResponse:
        while True:
            left_s = context.ends_s - self._clock.now_s()
            if context.gone.is_set():
                return self._give_up(context, 'the caller has left')
            if left_s < _LEAST_LEFT_S:
                return self._give_up(context, 'the time is over')
            chosen = self._choose(context)
            if chosen is None:
                return self._give_up(context, 'no target is free for it')
            attempt = await self._attempt(context, chosen, left_s)
            answer = self._conclude(context, attempt)
            if answer is not None:
                return answer

    def _choose(self, context: RequestContext) -> Candidate | None:
        return self._state.selector.select(
            context.wish,
            self._policy(context),
            context.tried,
            self._clock.now_s(),
        )

    async def _attempt(
        self,
        context: RequestContext,
        chosen: Candidate,
        left_s: float,
    ) -> Attempt:
        name = chosen.record.name
        self._state.selector.record_send(
            chosen,
            context.wish.affinity_key,
            self._clock.now_s(),
        )
        context.tried.add(name)
        started_s = self._clock.now_s()
        attempt = await self._send(context, chosen, left_s)
        elapsed_s = self._clock.now_s() - started_s
        if attempt.verdict != Verdict.NOT_SENT:
            context.sent += 1
        context.may_have_run |= attempt.may_have_run
        context.trail.append(_describe(chosen, attempt, elapsed_s))
        if attempt.verdict == Verdict.LOST:
            self._sender.suspect(chosen, self.describe_loss(context, chosen))
        return attempt

    async def _send(
        self,
        context: RequestContext,
        chosen: Candidate,
        left_s: float,
    ) -> Attempt:
        request = context.request
        if not context.route.idempotent:
            # Its run cannot be repeated, so it may as well end.
            return await self._sender.send(request, chosen, left_s, once=True)
        attempt = Attempt(Verdict.ABANDONED, problem='the caller has left')
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_once_gone, context.gone, group)
            attempt = await self._sender.send(
                request,
                chosen,
                left_s,
                once=False,
            )
            group.cancel_scope.cancel()
        return attempt

    def _conclude(
        self,
        context: RequestContext,
        attempt: Attempt,
    ) -> ForwardResponse | None:
        """Return the answer, or None if another target may be tried."""
        if attempt.verdict == Verdict.ANSWERED and attempt.answer is not None:
            answer = _deliver(attempt.answer)
            if attempt.failed and self._may_retry(context):
                context.failed = answer
                return None
            self._state.quarantine.clear(_fingerprint(context.request))
            return answer
        if attempt.verdict in {Verdict.TIMED_OUT, Verdict.ABANDONED}:
            return self._give_up(context, attempt.problem)
        if attempt.verdict == Verdict.NOT_SENT:
            return None
        if self._may_retry(context):
            return None
        return self._give_up(context, attempt.problem)

    def _may_retry(self, context: RequestContext) -> bool:
        if context.may_have_run and not context.route.idempotent:
            return False
        if context.sent >= context.route.max_attempts:
            return False
        budget = self._state.budget(context.wish.service)
        return budget.take(self._state.selector.instances, self._clock.now_s())

    def _give_up(self, context: RequestContext, reason: str) -> ForwardResponse:
        if context.failed is not None:
            return context.failed
        if not context.may_have_run:
            return _refuse(reason, _RETRY_AFTER_S)
        late = self._clock.now_s() >= context.ends_s - _LEAST_LEFT_S
        status = _GATEWAY_TIMEOUT if late else _BAD_GATEWAY
        return ForwardResponse(status, Origin.FAILURE, reason=reason)

    def _policy(self, context: RequestContext) -> ServicePolicy:
        return self._state.policy(context.wish.service)


def _describe(chosen: Candidate, attempt: Attempt, elapsed_s: float) -> str:
    inputs = f'rank={chosen.rank} load={chosen.load:.1f} warm={chosen.warm}'
    times = f'expected={chosen.cost_s:.3f}s took={elapsed_s:.3f}s'
    where = f'{chosen.record.name} in {chosen.record.place.failure_domain}'
    return f'{where} {attempt.verdict} {inputs} {times} {attempt.problem}'


def _deliver(answer: Response) -> ForwardResponse:
    return ForwardResponse(
        answer.status,
        Origin.TARGET,
        answer.headers,
        answer.body,
    )


async def _cancel_once_gone(gone: anyio.Event, group: TaskGroup) -> None:
    await gone.wait()
    group.cancel_scope.cancel()


def _refuse(reason: str, retry_after_s: float) -> ForwardResponse:
    return ForwardResponse(
        _UNAVAILABLE,
        Origin.REFUSAL,
        reason=reason,
        retry_after_s=retry_after_s,
    )


def _fingerprint(request: ForwardRequest) -> str:
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    digest.update(f'{request.method} {request.host} '.encode())
    digest.update(request.path_and_query)
    digest.update(request.affinity_key.encode())
    digest.update(request.body)
    return digest.hexdigest()
