"""Detours: requests that a peer serves, since it reaches their targets."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.places import parse_address
from tamarackway_core.wire import FleetMember

from tamarackway_entry.forwarding._context import RequestContext
from tamarackway_entry.forwarding._model import (
    ForwardRequest,
    ForwardResponse,
    Origin,
)
from tamarackway_entry.forwarding._sender import AttemptOutcome
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.serving import Caller
from tamarackway_entry.upstream import (
    ConnectionLostError,
    IdleConnectionPool,
    InvalidResponseError,
    NotSentError,
    Response,
    ResponseTooLargeError,
    WithdrawnError,
    connect,
)

_CONNECT_ROUND_TRIPS: Final = 2
_CONNECT_MARGIN_S: Final = 0.2  # for a busy peer to accept
_MAX_IDLE_S: Final = 2.0
_MAX_PEERS: Final = 2  # tried one after the other
_MAX_IN_FLIGHT: Final = 128  # detours from here to one peer
_MAX_FAILED_CONNECTS: Final = 2  # then a detour is likely to be faster


class DetourCodec(Protocol):
    """Encodes requests to peers and decodes their responses."""

    def encode_detour(
        self, request: ForwardRequest, timeout_s: float, sent_attempts: int
    ) -> bytes:
        """Return a request encoded as HTTP/1.1, without its body.

        :param request: the request.
        :param timeout_s: time until its deadline in seconds.
        :param sent_attempts: number of targets that have received it.
        """

    def matches_request(
        self, response: Response, request_id: str
    ) -> bool | None:
        """Return whether a response belongs to a request.

        :param response: response read from the connection.
        :param request_id: identifier of the request.
        :returns: None if the response does not identify its request.
        """

    def decode_detour(self, response: Response) -> ForwardResponse | None:
        """Return the peer's response, or None if it is not that of a detour.

        :param response: a complete response.
        """


@dataclass(frozen=True, slots=True)
class DetourResult:
    """Result of a detour.

    :param outcome: how it ended.
    :param response: response of the peer, if there is one.
    :param error: description of the failure, for logs.
    """

    outcome: AttemptOutcome
    response: ForwardResponse | None = None
    error: str = ''


class DetourSender:
    """Sends requests to peers over pooled connections.

    :param state: configuration, targets and reachability of this instance.
    :param region: region of this instance.
    :param codec: encodes requests and decodes responses.
    :param clock: clock of the daemon.
    :param list_peers: returns the other live instances.
    """

    def __init__(
        self,
        state: SteeringState,
        region: str,
        codec: DetourCodec,
        clock: Clock,
        list_peers: Callable[[], Sequence[FleetMember]],
    ) -> None:
        """Start without connections."""
        self._state = state
        self._region = region
        self._codec = codec
        self._clock = clock
        self._list_peers = list_peers
        self._in_flight: Counter[str] = Counter()
        self._pools: dict[str, IdleConnectionPool] = {}

    def find_peer(self, context: RequestContext) -> FleetMember | None:
        """Return the peer that should serve a request, or None.

        Prefers the own region, then the peer with the fewest detours from here.

        :param context: state of the request.
        """
        if len(context.tried_peers) >= _MAX_PEERS:
            return None
        usable = [
            peer
            for peer in self._list_peers()
            if self._is_usable(peer, context)
        ]
        return min(
            usable,
            key=lambda peer: (
                peer.region != self._region,
                self._in_flight[peer.name],
                random.random(),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
            ),
            default=None,
        )

    async def send(
        self, context: RequestContext, peer: FleetMember, remaining_s: float
    ) -> DetourResult:
        """Send a request to a peer and return the result.

        :param context: state of the request.
        :param peer: the peer.
        :param remaining_s: longest wait for the response in seconds.
        """
        self._in_flight[peer.name] += 1
        try:
            with anyio.fail_after(remaining_s):
                return await self._exchange(context, peer, remaining_s)
        except NotSentError as error:
            return DetourResult(AttemptOutcome.NOT_SENT, error=str(error))
        except (
            ConnectionLostError,
            InvalidResponseError,
            ResponseTooLargeError,
        ) as error:
            return DetourResult(AttemptOutcome.LOST, error=str(error))
        except TimeoutError:
            return DetourResult(
                AttemptOutcome.TIMED_OUT, error='no answer in time'
            )
        finally:
            self._in_flight[peer.name] -= 1

    def _is_usable(self, peer: FleetMember, context: RequestContext) -> bool:
        if peer.leaving or not peer.ready or not peer.takes_detours:
            return False
        if peer.name in context.tried_peers:
            return False
        homes = context.query.home_regions
        if homes and peer.region not in homes:
            return False
        has_room = self._in_flight[peer.name] < _MAX_IN_FLIGHT
        return has_room and self._state.reachability.reaches(
            peer.name, context.query.service
        )

    async def _exchange(
        self, context: RequestContext, peer: FleetMember, remaining_s: float
    ) -> DetourResult:
        request = context.request
        pool = self._pools.setdefault(peer.callers, IdleConnectionPool())
        connection = None
        if request.request_id:
            connection = pool.acquire(_MAX_IDLE_S, self._clock.now_s())
        if connection is None:
            round_trip_s = self._state.selector.round_trip_s(peer.region)
            timeout_s = _CONNECT_ROUND_TRIPS * round_trip_s + _CONNECT_MARGIN_S
            try:
                with anyio.fail_after(timeout_s):
                    connection = await connect(parse_address(peer.callers))
            except TimeoutError as error:
                raise NotSentError(f'{peer.callers} does not accept') from error
        if context.caller.has_left():
            connection.close()
            raise WithdrawnError('the caller has left')
        opened = connection

        def matches(response: Response) -> bool:
            found = self._codec.matches_request(response, request.request_id)
            return opened.is_first if found is None else found

        context.caller.record_send()
        try:
            received = await connection.exchange(
                self._codec.encode_detour(
                    request, remaining_s, context.sent_attempts
                ),
                matches,
                request.body,
            )
        except BaseException:
            connection.close()
            raise
        pool.release(connection, self._clock.now_s())
        response = self._codec.decode_detour(received)
        if response is None:
            raise InvalidResponseError('the response is not that of a detour')
        return DetourResult(AttemptOutcome.ANSWERED, response)


class DetourRouter:
    """Decides when a request takes a detour, and evaluates its result.

    :param state: configuration, targets and reachability of this instance.
    :param sender: sends requests to peers.
    :param lifecycle: tracks the detours that a shutdown may cancel.
    :param clock: clock of the daemon.
    """

    def __init__(
        self,
        state: SteeringState,
        sender: DetourSender,
        lifecycle: Lifecycle,
        clock: Clock,
    ) -> None:
        """Store the dependencies."""
        self._state = state
        self._sender = sender
        self._lifecycle = lifecycle
        self._clock = clock

    def find_peer(
        self, context: RequestContext, *, has_target: bool
    ) -> FleetMember | None:
        """Return the peer that should serve a request, or None.

        :param context: state of the request.
        :param has_target: whether it could be sent to a target directly.
        """
        if not self._is_due(context, has_target=has_target):
            return None
        return self._sender.find_peer(context)

    async def serve(
        self, context: RequestContext, peer: FleetMember, remaining_s: float
    ) -> DetourResult:
        """Let a peer serve a request, and return the result.

        :param context: state of the request, which is updated.
        :param peer: the peer.
        :param remaining_s: longest wait for the response in seconds.
        """
        context.tried_peers.add(peer.name)
        started_s = self._clock.now_s()
        result = DetourResult(
            AttemptOutcome.ABANDONED, error='the caller or the instance left'
        )
        with self._lifecycle.track_attempt():
            async with anyio.create_task_group() as group:
                # The end of the connection tells the peer that the caller has
                # left. The peer decides whether a running attempt goes on.
                group.start_soon(cancel_on_departure, context.caller, group)
                result = await self._sender.send(context, peer, remaining_s)
                group.cancel_scope.cancel()
        self._update(context, result)
        took_s = self._clock.now_s() - started_s
        context.trail.append(
            f'{peer.name} in {peer.failure_domain} detour {result.outcome} '
            f'took={took_s:.3f}s {result.error}'
        )
        return result

    def _is_due(self, context: RequestContext, *, has_target: bool) -> bool:
        if context.request.is_detour:
            return False
        if self._state.reachability.is_cut_off(context.query.service):
            return True
        selector, now_s = self._state.selector, self._clock.now_s()
        if has_target:
            is_missing = context.failed_connects >= _MAX_FAILED_CONNECTS
        else:
            is_missing = selector.misses_targets(context.query, now_s)
        # A peer might send the request to a target that refuses it here.
        return is_missing and not selector.has_paused_targets(
            context.query, now_s
        )

    def _update(self, context: RequestContext, result: DetourResult) -> None:
        response = result.response
        if result.outcome == AttemptOutcome.NOT_SENT:
            return
        if response is None or response.origin != Origin.REFUSAL:
            context.may_have_run = True
            # The peer has used the remaining attempts.
            context.sent_attempts = context.route.max_attempts
        else:
            context.refusal = response
            context.sent_attempts = max(
                context.sent_attempts, response.sent_attempts
            )


async def cancel_on_departure(caller: Caller, group: TaskGroup) -> None:
    """Cancel the tasks of a group once a caller is known to have left."""
    await caller.wait_until_left()
    group.cancel_scope.cancel()
