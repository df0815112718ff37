"""Links to peers, heartbeats, failure detection and relays."""

import math
from collections.abc import Callable
from functools import partial
from typing import Final, Protocol

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.membership import elect
from tamarackway_core.places import parse_address
from tamarackway_core.wire import (
    ConfigurationReply,
    ConfigurationRequest,
    FleetBeat,
    FleetMember,
    LossesReply,
    LossesRequest,
    Message,
    Ok,
    RowsRelay,
)

from tamarackway_entry.fleet._fetching import StateFetcher, StateReceiver
from tamarackway_entry.fleet._pace import (
    HEARTBEAT_INTERVAL_S,
    REPLY_TIMEOUT_S,
    HeartbeatThrottle,
    failure_timeout_s,
)
from tamarackway_entry.fleet._registry import FleetRegistry, Registration
from tamarackway_entry.kernel import Clock
from tamarackway_entry.links import (
    PeerLink,
    PeerServer,
    PeerUnreachableError,
    send_heartbeats,
)
from tamarackway_entry.telemetry import component_logger

# A failed peer still counts as a member for this time, since it may be running
# behind a network partition.
_RETENTION_S: Final = 60.0
# Regions lose each other for minutes; links must be back once they are.
_LINK_RETENTION_S: Final = 900.0
_POLL_TASK: Final = 'follow'  # name of the polling task in the election
_MAX_SECRETS: Final = 8  # of the newest histories of the store
_log = component_logger('fleet')


class FleetDelegate(StateReceiver, Protocol):
    """Supplies the state of this instance and handles events of peers."""

    def build_heartbeat(self) -> FleetBeat:
        """Return a heartbeat with the current state."""

    def handle_heartbeat(
        self,
        heartbeat: FleetBeat,
        member: FleetMember,
    ) -> None:
        """Process the heartbeat of a peer.

        :param heartbeat: the heartbeat.
        :param member: the peer.
        """

    def build_configuration_reply(self) -> ConfigurationReply:
        """Return the configuration in force."""

    def build_losses_reply(self) -> LossesReply:
        """Return the losses that this instance knows."""

    def apply_relay(self, relay: RowsRelay) -> None:
        """Apply changed rows that a peer relays."""

    def handle_peer_failure(self, name: str) -> None:
        """Discard the state of a failed peer."""


class _Peer:
    def __init__(self, member: FleetMember, *, store_answers: bool) -> None:
        self.member = member
        self.last_seen_s = -math.inf
        self.store_answers = store_answers
        self.is_live = False


class FleetService:
    """Maintains links to all peers and detects their failures.

    A peer is live from its first heartbeat until its failure. The callback
    ``on_change`` is called after peers were added, failed or expired, and after
    the member record of one changed. The callback ``store_history`` returns the
    newest known history of the store. In each new one, this instance registers
    again, since the store may have lost its row and the shared secret.

    :param delegate: supplies heartbeats and handles events of peers.
    :param registry: registers this instance and lists the others.
    :param own: this instance.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        delegate: FleetDelegate,
        registry: FleetRegistry,
        own: FleetMember,
        clock: Clock,
    ) -> None:
        """Start without links."""
        self.on_change: Callable[[], None] = lambda: None
        self.store_history: Callable[[], int] = int
        self._delegate = delegate
        self._registry = registry
        self._own = own
        self._clock = clock
        self._peers: dict[str, _Peer] = {}
        self._links: dict[str, PeerLink] = {}
        self._link_last_seen_s: dict[str, float] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._group: TaskGroup | None = None
        # The first one is in the store. Peers may know only an earlier one.
        self._secrets: list[str] = []
        self._is_elected = True
        self._fetcher = StateFetcher(delegate, clock)

    def list_live(self) -> list[FleetMember]:
        """Return the other live instances."""
        return [peer.member for peer in self._peers.values() if peer.is_live]

    def list_members(self) -> list[FleetMember]:
        """Return the other instances that may be running, live or not.

        Shared budgets are divided among all of these: a partitioned instance
        must not claim the shares of peers that it can no longer reach.
        """
        return [peer.member for peer in self._peers.values()]

    def is_elected_poller(self) -> bool:
        """Return whether this instance polls the store for its peers."""
        names = [
            peer.member.name
            for peer in self._peers.values()
            if peer.is_live and peer.store_answers and not peer.member.leaving
        ]
        heartbeat = self._delegate.build_heartbeat()
        if not heartbeat.store_answers and names:
            return False
        return elect([*names, self._own.name], _POLL_TASK) == self._own.name

    async def run(self) -> None:
        """Register, serve peers and send heartbeats until cancelled."""
        registration = await self._registry.register(self._own)
        self._secrets.append(registration.secret)
        server = PeerServer(
            parse_address(self._own.peers),
            self._secrets,
            self._handle_message,
        )
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(server.run)
            self._add_members(registration)
            group.start_soon(self._keep_registered, registration.history)
            while True:
                await anyio.sleep(HEARTBEAT_INTERVAL_S)
                self.detect_failures()

    def relay(self, relay: RowsRelay) -> None:
        """Relay changed rows to all peers.

        :param relay: the changed rows.
        """
        if self._group is None:
            return
        for link in self._links.values():
            self._group.start_soon(self._send, link, relay)

    async def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all peers immediately, without throttling."""
        async with anyio.create_task_group() as group:
            for link in list(self._links.values()):
                group.start_soon(
                    self._send,
                    link,
                    self._delegate.build_heartbeat(),
                )

    def handle_heartbeat(self, heartbeat: FleetBeat) -> None:
        """Mark a peer as live and pass its heartbeat to the delegate.

        :param heartbeat: the heartbeat.
        """
        peer = self._peers.get(heartbeat.name)
        member = heartbeat.member
        if member is None and peer is not None:
            member = peer.member
        if member is None or heartbeat.name == self._own.name:
            return
        now_s = self._clock.now_s()
        if peer is None:
            peer = _Peer(member, store_answers=heartbeat.store_answers)
            self._peers[member.name] = peer
        previous = (peer.is_live, peer.member)
        peer.member = member
        peer.last_seen_s = now_s
        peer.store_answers = heartbeat.store_answers
        peer.is_live = True
        self._link_last_seen_s[member.peers] = now_s
        self._open_link(member.peers)
        self._delegate.handle_heartbeat(heartbeat, member)
        link = self._links.get(member.peers)
        if self._group is not None and link is not None:
            self._fetcher.start(self._group, link, heartbeat)
        if previous != (True, member):
            _log.info(
                'Instance %s is live, ready=%s leaving=%s.',
                member.name,
                member.ready,
                member.leaving,
            )
            self.on_change()

    def detect_failures(self) -> None:
        """Update the election, mark failed peers and remove expired ones.

        A peer expires when it has failed and its retention period is over.
        """
        self._is_elected = self.is_elected_poller()
        now_s = self._clock.now_s()
        timeout_s = failure_timeout_s(len(self._peers))
        for name, peer in self._peers.items():
            if peer.is_live and now_s - peer.last_seen_s > timeout_s:
                peer.is_live = False
                _log.warning('Instance %s stopped sending heartbeats.', name)
                self._delegate.handle_peer_failure(name)
                self.on_change()
        self._remove_expired(now_s)

    async def _send(self, link: PeerLink, message: Message) -> None:
        try:
            await link.request(message, REPLY_TIMEOUT_S)
        except PeerUnreachableError as error:
            _log.debug('Message to %s failed: %s.', link.address, error)

    async def _keep_registered(self, history: int) -> None:
        """Register again whenever the store was restored from a copy."""
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_S)
            if self.store_history() <= history:
                continue
            registration = await self._registry.register(
                self._own, self._secrets[0]
            )
            history = registration.history
            _log.info(
                'Registered again in history %d of the store, %d others.',
                history,
                len(registration.members),
            )
            if registration.secret in self._secrets:
                self._secrets.remove(registration.secret)
            self._secrets.insert(0, registration.secret)
            del self._secrets[_MAX_SECRETS:]
            self._add_members(registration)

    def _add_members(self, registration: Registration) -> None:
        for member in registration.members:
            peer = _Peer(member, store_answers=False)
            peer.last_seen_s = self._clock.now_s()
            self._peers.setdefault(member.name, peer)
            self._open_link(member.peers)
        self.on_change()

    def _open_link(self, address: str) -> None:
        if address in self._links or address == self._own.peers:
            return
        if self._group is None:
            return
        host = parse_address(self._own.peers).host
        link = PeerLink(parse_address(address), host, self._secrets)
        self._links[address] = link
        self._link_last_seen_s[address] = self._clock.now_s()
        self._scopes[address] = anyio.CancelScope()
        self._group.start_soon(self._run_link, link, self._scopes[address])

    async def _run_link(self, link: PeerLink, scope: anyio.CancelScope) -> None:
        with scope:
            throttle = HeartbeatThrottle()
            async with anyio.create_task_group() as group:
                group.start_soon(link.run)
                group.start_soon(
                    send_heartbeats,
                    link,
                    HEARTBEAT_INTERVAL_S,
                    REPLY_TIMEOUT_S,
                    partial(self._next_heartbeat, throttle),
                    partial(self._handle_reply, str(link.address), throttle),
                )

    def _next_heartbeat(self, throttle: HeartbeatThrottle) -> FleetBeat | None:
        return throttle.next_heartbeat(
            self._delegate.build_heartbeat(),
            len(self._peers),
            self._clock.now_s(),
            is_elected=self._is_elected,
        )

    def _handle_reply(
        self,
        address: str,
        throttle: HeartbeatThrottle,
        reply: Message,
    ) -> None:
        throttle.record_reply()
        if isinstance(reply, FleetBeat):
            self.handle_heartbeat(reply)
            return
        # The reply to a heartbeat without a member record has no content but
        # proves that the peer is live.
        for peer in self._peers.values():
            if peer.member.peers == address and peer.is_live:
                peer.last_seen_s = self._clock.now_s()

    async def _handle_message(self, message: Message) -> Message:
        if isinstance(message, FleetBeat):
            self.handle_heartbeat(message)
            # A peer that sends its member record may not have ours yet.
            return self._delegate.build_heartbeat() if message.member else Ok()
        if isinstance(message, ConfigurationRequest):
            return self._delegate.build_configuration_reply()
        if isinstance(message, LossesRequest):
            return self._delegate.build_losses_reply()
        if isinstance(message, RowsRelay):
            self._delegate.apply_relay(message)
        return Ok()

    def _remove_expired(self, now_s: float) -> None:
        for name, peer in list(self._peers.items()):
            if now_s - peer.last_seen_s > _RETENTION_S:
                self._peers.pop(name)
                self.on_change()
        for address, last_seen_s in list(self._link_last_seen_s.items()):
            is_expired = now_s - last_seen_s > _LINK_RETENTION_S
            if is_expired and address in self._links:
                self._links.pop(address)
                self._link_last_seen_s.pop(address)
                self._scopes.pop(address).cancel()
