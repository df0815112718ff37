"""Asks claimants for results, and answers other instances that ask."""

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
_HOP_S: Final = 1.0
_OUT_OF_REACH_S: Final = 3.0
_ASK_AGAIN_S: Final = 0.1


class AttemptTracker:
    """Lets requests wait for the end of an attempt of this instance."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._events: dict[str, anyio.Event] = {}

    def begin(self, token: str) -> None:
        """Note that an attempt is under way."""
        self._events[token] = anyio.Event()

    def end(self, token: str) -> None:
        """Wake all that wait for an attempt."""
        event = self._events.pop(token, None)
        if event is not None:
            event.set()

    async def wait(self, token: str, timeout_s: float) -> None:
        """Wait until an attempt has ended or the time is over."""
        event = self._events.get(token)
        if event is not None:
            with anyio.move_on_after(timeout_s):
                await event.wait()


class JoinService:
    """Finds the result of a request that another attempt has claimed.

    :param registry: attempts of this instance.
    :param attempts: ends of attempts of this instance.
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
        """Register for requests of peers."""
        self._registry = registry
        self._attempts = attempts
        self._peers = peers
        self._incarnation = incarnation
        self._clock = clock
        peers.register_handler(JoinRequest, self._answer)

    async def ask(
        self,
        row_key: str,
        command: QueryClaimant,
        deadline_s: float,
    ) -> RunResult:
        """Return the claimant's word on a request.

        :param row_key: key of the claim row.
        :param command: names the claimant.
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
            return await self._testify(request)
        return await self._ask_peer(command.claimant, request, deadline_s)

    async def wait(self, token: str, deadline_s: float) -> None:
        """Wait until an attempt of this instance has ended.

        :param token: token of the attempt.
        :param deadline_s: monotonic time by which to give up.
        """
        wait_s = max(deadline_s - self._clock.now_s(), 0)
        await self._attempts.wait(token, wait_s)

    async def follow(
        self,
        row_key: str,
        token: str,
        deadline_s: float,
    ) -> RunResult:
        """Return what the caller of an attempt of this instance is told.

        :param row_key: key of the claim row.
        :param token: token of the attempt.
        :param deadline_s: monotonic time by which to answer.
        """
        await self.wait(token, deadline_s)
        return self._registry.current_result(row_key, token)

    async def _ask_peer(
        self,
        claimant: str,
        request: JoinRequest,
        deadline_s: float,
    ) -> RunResult:
        """Ask again while the claimant may only be out of reach for now."""
        give_up_s = min(deadline_s, self._clock.now_s() + _OUT_OF_REACH_S)
        while True:
            wait_s = max(deadline_s - self._clock.now_s(), 0) + _HOP_S
            try:
                reply = await self._peers.request(claimant, request, wait_s)
            except PeerUnreachableError:
                reply = None
            if isinstance(reply, JoinReply):
                return reply.run
            if self._clock.now_s() >= give_up_s:
                return claimant_lost_result()
            await anyio.sleep(_ASK_AGAIN_S)

    async def _answer(self, request: JoinRequest) -> Message:
        return JoinReply(await self._testify(request))

    async def _testify(self, request: JoinRequest) -> RunResult:
        if request.incarnation != self._incarnation:
            return claimant_lost_result()
        wait_s = min(request.timeout_s, _MAX_WAIT_S)
        await self._attempts.wait(request.token, wait_s)
        return self._registry.result_for_peer(request.row_key, request.token)
