"""Fetches the losses of targets that peers know."""

from typing import Final, Protocol

from anyio.abc import TaskGroup
from tamarackway_core.wire import LossesReply, LossesRequest

from tamarackway_entry.fleet._pace import REPLY_TIMEOUT_S
from tamarackway_entry.kernel import Clock
from tamarackway_entry.links import PeerLink, PeerUnreachableError
from tamarackway_entry.telemetry import component_logger

_MIN_INTERVAL_S: Final = 1.0  # bounds the bytes while many targets fail
# Two instances that each know too much for one reply never agree.
_REPEAT_S: Final = 30.0
_log = component_logger('fleet')


class LossReceiver(Protocol):
    """Adds the losses that a peer knows."""

    def apply_losses(self, reply: LossesReply) -> None:
        """Add the losses that a peer knows."""


class LossFetcher:
    """Fetches the losses of one peer at a time.

    Heartbeats tell peers only of recent losses. An instance that was started
    later, or cut off from its peers meanwhile, fetches the others.

    :param receiver: adds them.
    :param clock: clocks of the daemon.
    """

    def __init__(self, receiver: LossReceiver, clock: Clock) -> None:
        """Start without a request."""
        self._receiver = receiver
        self._clock = clock
        self._next_s = -_MIN_INTERVAL_S
        self._fetched_s: dict[str, float] = {}

    def start(self, group: TaskGroup, link: PeerLink, digest: str) -> None:
        """Fetch the losses of a peer, unless that was done a moment ago.

        :param group: runs the request.
        :param link: connection to the peer.
        :param digest: digest of the losses that the peer knows.
        """
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return
        self._fetched_s = {
            known: fetched_s
            for known, fetched_s in self._fetched_s.items()
            if now_s - fetched_s < _REPEAT_S
        }
        if digest not in self._fetched_s:
            self._next_s = now_s + _MIN_INTERVAL_S
            self._fetched_s[digest] = now_s
            group.start_soon(self._fetch, link, digest)

    async def _fetch(self, link: PeerLink, digest: str) -> None:
        try:
            reply = await link.request(LossesRequest(), REPLY_TIMEOUT_S)
        except PeerUnreachableError as error:
            _log.info('No losses of targets from %s: %s.', link.address, error)
            self._fetched_s.pop(digest, None)
            return
        if isinstance(reply, LossesReply):
            _log.info(
                'Received %d losses of targets from %s.',
                len(reply.losses),
                link.address,
            )
            self._receiver.apply_losses(reply)
