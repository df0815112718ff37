"""Requests results from claimants, and answers such requests of peers."""

from typing import Final

import anyio
from tamarackway_core.once import (
    AttemptRegistry,
    QueryClaimant,
    RunResult,
    claimant_lost_result,
)
from tamarackway_core.wire import JoinReply, JoinRequest, Message

from tamarackway_entry.kernel import Clock
from tamarackway_entry.peers import PeerService, PeerUnreachableError

_MAX_WAIT_S: Final = 60.0
_NETWORK_MARGIN_S: Final = 1.0
_UNREACHABLE_TIMEOUT_S: Final = 3.0
_RETRY_INTERVAL_S: Final = 0.1


class AttemptTracker:
    """Lets requests wait for the completion of local attempts."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._events: dict[str, anyio.Event] = {}

    def begin(self, token: str) -> None:
        """Record that an attempt has started."""
        self._events[token] = anyio.Event()

    def end(self, token: str) -> None:
        """Record that an attempt has ended and wake its waiters."""
        event = self._events.pop(token, None)
        if event is not None:
            event.set()

    async def wait(self, token: str, timeout_s: float) -> None:
        """Wait until an attempt has ended or the timeout has passed.

        Return at once if no such attempt is in progress.
        """
        event = self._events.get(token)
        if event is not None:
            with anyio.move_on_after(timeout_s):
                await event.wait()


class JoinService:
    """Finds the result of a request that another attempt has claimed.

    A caller that repeats a request joins the attempt that claimed it: it waits
    for that attempt and receives the same result.

    :param registry: attempts of this instance.
    :param attempts: signals the completion of local attempts.
    :param peers: the other entry instances.
    :param incarnation: incarnation of this instance.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        registry: AttemptRegistry,
        attempts: AttemptTracker,
        peers: PeerService,
        incarnation: str,
        clock: Clock,
    ) -> None:
        """Register the handler of join requests."""
        self._registry = registry
        self._attempts = attempts
        self._peers = peers
        self._incarnation = incarnation
        self._clock = clock
        peers.register_handler(JoinRequest, self._handle_request)

    async def request_result(
        self,
        row_key: str,
        command: QueryClaimant,
        deadline_s: float,
    ) -> RunResult:
        """Return the result of a request as its claimant reports it.

        :param row_key: key of the claim row.
        :param command: identifies the claimant and its attempt.
        :param deadline_s: monotonic time by which to answer.
        """
        remaining_s = max(deadline_s - self._clock.now_s(), 0)
        request = JoinRequest(
            row_key,
            command.token,
            command.incarnation,
            remaining_s,
        )
        if command.incarnation == self._incarnation:
            return await self._find_result(request)
        return await self._request_from_peer(
            command.claimant, request, deadline_s
        )

    async def wait_for_end(self, token: str, deadline_s: float) -> None:
        """Wait until a local attempt has ended.

        :param token: token of the attempt.
        :param deadline_s: monotonic time at which the wait ends.
        """
        wait_s = max(deadline_s - self._clock.now_s(), 0)
        await self._attempts.wait(token, wait_s)

    async def wait_for_result(
        self,
        row_key: str,
        token: str,
        deadline_s: float,
    ) -> RunResult:
        """Wait for a local attempt and return the result for its caller.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        :param deadline_s: monotonic time by which to answer.
        """
        await self.wait_for_end(token, deadline_s)
        return self._registry.current_result(row_key, token)

    async def _request_from_peer(
        self,
        claimant: str,
        request: JoinRequest,
        deadline_s: float,
    ) -> RunResult:
        """Request the result, retrying while the peer is unreachable.

        The claimant counts as lost only after ``_UNREACHABLE_TIMEOUT_S``, so
        that a short network failure, or a link that is not established yet,
        is not mistaken for its loss.
        """
        retry_until_s = min(
            deadline_s, self._clock.now_s() + _UNREACHABLE_TIMEOUT_S
        )
        while True:
            wait_s = (
                max(deadline_s - self._clock.now_s(), 0) + _NETWORK_MARGIN_S
            )
            try:
                reply = await self._peers.request(claimant, request, wait_s)
            except PeerUnreachableError:
                reply = None
            if isinstance(reply, JoinReply):
                return reply.run
            if self._clock.now_s() >= retry_until_s:
                return claimant_lost_result()
            await anyio.sleep(_RETRY_INTERVAL_S)

    async def _handle_request(self, request: JoinRequest) -> Message:
        return JoinReply(await self._find_result(request))

    async def _find_result(self, request: JoinRequest) -> RunResult:
        """Wait for a local attempt and return the result for a peer."""
        if request.incarnation != self._incarnation:
            return claimant_lost_result()
        wait_s = min(request.timeout_s, _MAX_WAIT_S)
        await self._attempts.wait(request.token, wait_s)
        return self._registry.result_for_peer(request.row_key, request.token)
