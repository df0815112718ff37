"""Forwards one request, with retries, until it has a response."""

import random
from dataclasses import replace
from typing import Final

import anyio
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import (
    Candidate,
    Route,
    ServicePolicy,
    TargetQuery,
    pick_service,
)

from tamarackway_entry.forwarding._context import (
    RecordCallback,
    RequestContext,
)
from tamarackway_entry.forwarding._detours import (
    DetourResult,
    DetourRouter,
    cancel_on_departure,
)
from tamarackway_entry.forwarding._model import (
    ForwardRequest,
    ForwardResponse,
    Origin,
)
from tamarackway_entry.forwarding._quarantine import (
    RequestQuarantine,
    describe_loss,
)
from tamarackway_entry.forwarding._sender import (
    AttemptOutcome,
    AttemptResult,
    TargetSender,
)
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.serving import Caller
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
# A slot of a target usually becomes free within this time.
_RETRY_AFTER_S: Final = 0.2
_STARTUP_RETRY_AFTER_S: Final = 0.5
_STARTUP_WAIT_S: Final = 0.5  # a new instance becomes ready within this time
_STARTUP_WAIT_SHARE: Final = 0.25  # of the caller's timeout
_MIN_REMAINING_S: Final = 0.02  # no response can arrive in less time


class Forwarder:
    """Forwards requests to targets.

    :param state: configuration, targets and statistics of this instance.
    :param sender: sends requests to targets.
    :param lifecycle: tells which requests a shutdown still admits.
    :param clock: clock of the daemon.
    :param record: called with each ended request and its response.
    :param detours: lets peers serve requests, None without peers.
    """

    def __init__(
        self,
        state: SteeringState,
        sender: TargetSender,
        lifecycle: Lifecycle,
        clock: Clock,
        record: RecordCallback,
        detours: DetourRouter | None = None,
    ) -> None:
        """Store the dependencies."""
        self._state = state
        self._sender = sender
        self._lifecycle = lifecycle
        self._clock = clock
        self._record = record
        self._detours = detours
        self._quarantine = RequestQuarantine(state, clock)

    async def serve(
        self,
        request: ForwardRequest,
        caller: Caller,
    ) -> ForwardResponse:
        """Return the response to a request.

        :param request: the request.
        :param caller: its caller. Once it has left, no further attempt starts,
            and a running attempt is cancelled if the request is idempotent.
        """
        await self._wait_until_ready(request)
        route = self._state.routes.find(request.host, request.path)
        refusal = self._refuse_early(request, route)
        if refusal is not None or route is None:
            response = refusal or _NO_ROUTE
            self._record(request, response, None)
            return response
        context = self._create_context(request, route, caller)
        response = replace(
            await self._forward(context), sent_attempts=context.sent_attempts
        )
        self._record(request, response, context)
        return response

    def describe_loss(
        self, context: RequestContext, candidate: Candidate
    ) -> Loss:
        """Return the loss to report if a target crashed on a request.

        :param context: state of the request.
        :param candidate: the target.
        """
        return describe_loss(context.request, candidate)

    async def _wait_until_ready(self, request: ForwardRequest) -> None:
        """Wait briefly for the configuration and targets of a new instance.

        A leaving one does not wait: the caller is served elsewhere at once.
        """
        if self._state.ready.is_set() or self._lifecycle.is_leaving:
            return
        longest_s = min(
            _STARTUP_WAIT_S, request.timeout_s * _STARTUP_WAIT_SHARE
        )
        with self._lifecycle.track_attempt(), anyio.move_on_after(longest_s):
            await self._state.ready.wait()

    def _refuse_early(
        self,
        request: ForwardRequest,
        route: Route | None,
    ) -> ForwardResponse | None:
        """Return the response to a request that is not sent, or None."""
        if self._state.configuration is None:
            return _refuse_unconfigured(self._lifecycle)
        if route is None and request.is_detour:
            # The peer has another configuration, with a route.
            return _refuse('no route matches here', _RETRY_AFTER_S)
        if route is None:
            return _NO_ROUTE
        if not self._lifecycle.admits(_deadline_s(request, route)):
            return _refuse_leaving(self._lifecycle)
        if not self._quarantine.admits(request):
            return _refuse('targets died while they ran this request', 0)
        return None

    def _create_context(
        self,
        request: ForwardRequest,
        route: Route,
        caller: Caller,
    ) -> RequestContext:
        service = pick_service(route.shares, random.random())  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        now_s = self._clock.now_s()
        if not request.is_detour:
            self._state.retry_budget(service).count_request(now_s)
        if request.is_detour or not self._state.reachability.is_cut_off(
            service
        ):
            # The demand arises where the request is sent to a target.
            self._state.demand.count(service, now_s)
        query = TargetQuery(
            service,
            request.affinity_key if route.sticky else '',
            route.home_regions,
            request.request_id,
        )
        deadline_s = _deadline_s(request, route)
        return RequestContext(
            request,
            route,
            query,
            deadline_s,
            caller,
            is_retest=self._quarantine.includes(request),
            sent_attempts=request.prior_attempts,
        )

    async def _forward(self, context: RequestContext) -> ForwardResponse:
        while True:
            remaining_s = context.deadline_s - self._clock.now_s()
            if context.caller.has_left():
                return self._give_up(context, 'the caller has left')
            if remaining_s < _MIN_REMAINING_S:
                return self._give_up(context, 'the time is over')
            response = await self._try_next(context, remaining_s)
            if response is not None:
                return response

    async def _try_next(
        self, context: RequestContext, remaining_s: float
    ) -> ForwardResponse | None:
        """Try a target or a peer; return None if another one must be tried."""
        candidate = self._choose(context)
        if self._detours is not None:
            peer = self._detours.find_peer(
                context, has_target=candidate is not None
            )
            if peer is not None:
                sent_before = context.sent_attempts
                result = await self._detours.serve(context, peer, remaining_s)
                return self._evaluate_detour(context, result, sent_before)
        if candidate is None or self._is_known_to_fail(context):
            return self._give_up_without_target(context)
        attempt = await self._attempt(context, candidate, remaining_s)
        return self._evaluate(context, attempt)

    def _is_known_to_fail(self, context: RequestContext) -> bool:
        """Return whether a direct attempt would only delay the refusal."""
        is_cut_off = self._state.reachability.is_cut_off(context.query.service)
        has_failed = context.failed_connects > 0 or context.refusal is not None
        return is_cut_off and has_failed

    def _evaluate_detour(
        self, context: RequestContext, result: DetourResult, sent_before: int
    ) -> ForwardResponse | None:
        """Return the final response, or None to try another way.

        :param context: state of the request.
        :param result: result of the detour.
        :param sent_before: number of targets that had received it before.
        """
        response = result.response
        if result.outcome == AttemptOutcome.NOT_SENT:
            return None
        if response is None:
            return self._give_up(context, result.error)
        if response.origin == Origin.REFUSAL:
            # Another try would be a further arrival beyond those of the peer.
            is_offered = response.sent_attempts > sent_before
            return self._give_up_without_target(context) if is_offered else None
        if response.origin == Origin.TARGET:
            self._quarantine.record_completion(context.request)
        return response

    def _choose(self, context: RequestContext) -> Candidate | None:
        return self._state.selector.select(
            context.query,
            self._policy(context),
            context.tried,
            self._clock.now_s(),
        )

    async def _attempt(
        self,
        context: RequestContext,
        candidate: Candidate,
        remaining_s: float,
    ) -> AttemptResult:
        name = candidate.record.name
        self._state.selector.record_send(
            candidate,
            context.query.affinity_key,
            self._clock.now_s(),
        )
        context.tried.add(name)
        started_s = self._clock.now_s()
        attempt = AttemptResult(
            AttemptOutcome.ABANDONED, error='the instance is shutting down'
        )
        with self._lifecycle.track_attempt():
            attempt = await self._send(context, candidate, remaining_s)
        elapsed_s = self._clock.now_s() - started_s
        if attempt.was_sent:
            context.sent_attempts += 1
        if attempt.outcome == AttemptOutcome.NOT_SENT:
            context.failed_connects += 1
        context.may_have_run |= attempt.may_have_run
        context.trail.append(_describe_attempt(candidate, attempt, elapsed_s))
        # A target that sends something invalid has not crashed.
        if attempt.outcome == AttemptOutcome.LOST and not attempt.is_invalid:
            self._sender.schedule_check(
                candidate, self.describe_loss(context, candidate)
            )
        return attempt

    async def _send(
        self,
        context: RequestContext,
        candidate: Candidate,
        remaining_s: float,
    ) -> AttemptResult:
        request = context.request
        if not context.route.idempotent:
            # The request cannot be retried, so an attempt that has started
            # runs to its end even if the caller leaves.
            return await self._sender.send(
                request,
                context.caller,
                candidate,
                remaining_s,
                at_most_once=True,
            )
        attempt = AttemptResult(
            AttemptOutcome.ABANDONED, error='the caller has left'
        )
        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_departure, context.caller, group)
            attempt = await self._sender.send(
                request,
                context.caller,
                candidate,
                remaining_s,
                at_most_once=False,
            )
            group.cancel_scope.cancel()
        return attempt

    def _evaluate(
        self,
        context: RequestContext,
        attempt: AttemptResult,
    ) -> ForwardResponse | None:
        """Return the final response, or None to try another target."""
        if (
            attempt.outcome == AttemptOutcome.ANSWERED
            and attempt.response is not None
        ):
            response = _convert_response(attempt.response)
            if attempt.failed and self._may_retry(context):
                context.failed_response = response
                return None
            self._quarantine.record_completion(context.request)
            return response
        if attempt.outcome in {
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.ABANDONED,
        }:
            return self._give_up(context, attempt.error)
        if not attempt.was_sent:
            # Not a retry: no target has received this attempt.
            return None
        if self._may_retry(context):
            return None
        return self._give_up(context, attempt.error)

    def _may_retry(self, context: RequestContext) -> bool:
        """Return whether the request may be sent again; count a retry if so."""
        if context.caller.has_left():
            return False  # so that it takes nothing from the retry budget
        if not self._quarantine.permits_retry(context):
            return False
        if context.may_have_run and not context.route.idempotent:
            return False
        if context.sent_attempts >= context.route.max_attempts:
            return False
        budget = self._state.retry_budget(context.query.service)
        return budget.take(self._state.selector.instances, self._clock.now_s())

    def _give_up_without_target(
        self, context: RequestContext
    ) -> ForwardResponse:
        """Return the final response when no target accepts the request."""
        delay_s = None
        if context.refusal is not None:
            return self._give_up(
                context,
                context.refusal.reason,
                context.refusal.retry_after_s or _RETRY_AFTER_S,
            )
        if not context.may_have_run:
            delay_s = self._state.selector.return_delay_s(
                context.query, self._clock.now_s()
            )
        if delay_s is None:
            return self._give_up(context, 'no target is free for it')
        return self._give_up(
            context,
            'all targets are busy or at their rate limits',
            max(delay_s, _RETRY_AFTER_S),
        )

    def _give_up(
        self,
        context: RequestContext,
        reason: str,
        retry_after_s: float = _RETRY_AFTER_S,
    ) -> ForwardResponse:
        """Return the final response after attempts without success."""
        if context.failed_response is not None:
            return context.failed_response
        if not context.may_have_run:
            return _refuse(reason, retry_after_s)
        is_late = self._clock.now_s() >= context.deadline_s - _MIN_REMAINING_S
        status = _GATEWAY_TIMEOUT if is_late else _BAD_GATEWAY
        return ForwardResponse(status, Origin.FAILURE, reason=reason)

    def _policy(self, context: RequestContext) -> ServicePolicy:
        return self._state.policy(context.query.service)


def _deadline_s(request: ForwardRequest, route: Route) -> float:
    return request.received_s + min(route.timeout_s, request.timeout_s)


def _describe_attempt(
    candidate: Candidate, attempt: AttemptResult, elapsed_s: float
) -> str:
    selection = (
        f'rank={candidate.rank} load={candidate.load:.1f} warm={candidate.warm}'
    )
    times = f'expected={candidate.cost_s:.3f}s took={elapsed_s:.3f}s'
    location = (
        f'{candidate.record.name} in {candidate.record.place.failure_domain}'
    )
    return f'{location} {attempt.outcome} {selection} {times} {attempt.error}'


def _convert_response(response: Response) -> ForwardResponse:
    return ForwardResponse(
        response.status,
        Origin.TARGET,
        response.headers,
        response.body,
        reservation=response.reservation,
    )


def _refuse(reason: str, retry_after_s: float) -> ForwardResponse:
    return ForwardResponse(
        _UNAVAILABLE,
        Origin.REFUSAL,
        reason=reason,
        retry_after_s=retry_after_s,
    )


def _refuse_unconfigured(lifecycle: Lifecycle) -> ForwardResponse:
    if lifecycle.is_leaving:
        return _refuse_leaving(lifecycle)
    return _refuse('no configuration is known yet', _STARTUP_RETRY_AFTER_S)


def _refuse_leaving(lifecycle: Lifecycle) -> ForwardResponse:
    return _refuse('the instance is shutting down', lifecycle.return_delay_s())
