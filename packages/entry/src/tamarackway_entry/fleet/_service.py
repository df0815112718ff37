"""Links to the other entry instances, heartbeats and relays."""

import math
from collections.abc import Callable
from functools import partial
from typing import Final, Protocol

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.membership import elect
from tamarackway_core.places import parse_address
from tamarackway_core.wire import (
    FleetBeat,
    FleetMember,
    Message,
    Ok,
    RowsRelay,
)

from tamarackway_entry.fleet._pace import (
    BEAT_S,
    REPLY_TIMEOUT_S,
    BeatPacer,
    silence_s,
)
from tamarackway_entry.fleet._registry import FleetRegistry
from tamarackway_entry.kernel import Clock
from tamarackway_entry.links import (
    PeerLink,
    PeerServer,
    PeerUnreachableError,
    send_heartbeats,
)
from tamarackway_entry.telemetry import component_logger

_FORGET_S: Final = 60.0
_FOLLOW_TASK: Final = 'follow'
_log = component_logger('fleet')


class FleetDelegate(Protocol):
    """What this instance tells others of itself."""

    def build_heartbeat(self) -> FleetBeat:
        """Return the heartbeat of this moment."""

    def handle_heartbeat(
        self, heartbeat: FleetBeat, member: FleetMember
    ) -> None:
        """Take in the heartbeat of a peer.

        :param heartbeat: the heartbeat.
        :param member: the peer.
        """

    def apply_relay(self, relay: RowsRelay) -> None:
        """Take changed rows that a peer passes on."""

    def handle_peer_loss(self, name: str) -> None:
        """Take in that a peer fell silent."""


class _Peer:
    def __init__(self, member: FleetMember, *, store_answers: bool) -> None:
        self.member = member
        self.heard_s = -math.inf
        self.store_answers = store_answers
        self.is_live = False


class FleetService:
    """Keeps a link to each other instance.

    :param delegate: describes this instance and hears the others.
    :param registry: rows by which instances find each other.
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
        self._delegate = delegate
        self._registry = registry
        self._own = own
        self._clock = clock
        self._peers: dict[str, _Peer] = {}
        self._links: dict[str, PeerLink] = {}
        self._known_s: dict[str, float] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._group: TaskGroup | None = None
        self._secret = ''
        self._follows = True

    def list_live(self) -> list[FleetMember]:
        """Return the other instances that are alive."""
        return [peer.member for peer in self._peers.values() if peer.is_live]

    def list_members(self) -> list[FleetMember]:
        """Return the other instances that may be running, silent ones too.

        What all instances share is divided among these: an instance that is
        cut off must not take the shares of those that it no longer hears.
        """
        return [peer.member for peer in self._peers.values()]

    def is_elected(self) -> bool:
        """Return whether this instance follows the store for the others."""
        names = [
            peer.member.name
            for peer in self._peers.values()
            if peer.is_live and peer.store_answers and not peer.member.leaving
        ]
        own = self._delegate.build_heartbeat()
        if not own.store_answers and names:
            return False
        return elect([*names, self._own.name], _FOLLOW_TASK) == self._own.name

    async def run(self) -> None:
        """Enrol, serve peers and send heartbeats until cancelled."""
        enrolment = await self._registry.enrol(self._own)
        self._secret = enrolment.secret
        server = PeerServer(
            parse_address(self._own.peers),
            (self._secret,),
            self._answer,
        )
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(server.run)
            for member in enrolment.members:
                self._expect(member)
            self.on_change()
            while True:
                await anyio.sleep(BEAT_S)
                self.sweep()

    def relay(self, relay: RowsRelay) -> None:
        """Pass changed rows on to all peers.

        :param relay: the changed rows.
        """
        if self._group is None:
            return
        for link in self._links.values():
            self._group.start_soon(self._send, link, relay)

    async def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all peers at once."""
        async with anyio.create_task_group() as group:
            for link in list(self._links.values()):
                group.start_soon(
                    self._send, link, self._delegate.build_heartbeat()
                )

    def handle_heartbeat(self, heartbeat: FleetBeat) -> None:
        """Take in the heartbeat of a peer.

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
        was = (peer.is_live, peer.member)
        peer.member = member
        peer.heard_s = now_s
        peer.store_answers = heartbeat.store_answers
        peer.is_live = True
        self._known_s[member.peers] = now_s
        self._link(member.peers)
        self._delegate.handle_heartbeat(heartbeat, member)
        if was != (True, member):
            _log.info(
                'Instance %s is alive, ready=%s leaving=%s.',
                member.name,
                member.ready,
                member.leaving,
            )
            self.on_change()

    def sweep(self) -> None:
        """Take in which peers have fallen silent, and forget the oldest."""
        self._follows = self.is_elected()
        now_s = self._clock.now_s()
        longest_s = silence_s(len(self._peers))
        for name, peer in self._peers.items():
            if peer.is_live and now_s - peer.heard_s > longest_s:
                peer.is_live = False
                _log.warning('Instance %s has fallen silent.', name)
                self._delegate.handle_peer_loss(name)
                self.on_change()
        self._forget(now_s)

    async def _send(self, link: PeerLink, message: Message) -> None:
        try:
            await link.request(message, REPLY_TIMEOUT_S)
        except PeerUnreachableError as error:
            _log.debug('%s was not told: %s.', link.address, error)

    def _expect(self, member: FleetMember) -> None:
        peer = _Peer(member, store_answers=False)
        peer.heard_s = self._clock.now_s()
        self._peers.setdefault(member.name, peer)
        self._link(member.peers)

    def _link(self, address: str) -> None:
        if address in self._links or address == self._own.peers:
            return
        if self._group is None:
            return
        host = parse_address(self._own.peers).host
        link = PeerLink(parse_address(address), host, (self._secret,))
        self._links[address] = link
        self._known_s[address] = self._clock.now_s()
        self._scopes[address] = anyio.CancelScope()
        self._group.start_soon(self._keep, link, self._scopes[address])

    async def _keep(self, link: PeerLink, scope: anyio.CancelScope) -> None:
        with scope:
            pacer = BeatPacer()
            async with anyio.create_task_group() as group:
                group.start_soon(link.run)
                group.start_soon(
                    send_heartbeats,
                    link,
                    BEAT_S,
                    REPLY_TIMEOUT_S,
                    partial(self._make_beat, pacer),
                    partial(self._take_reply, str(link.address), pacer),
                )

    def _make_beat(self, pacer: BeatPacer) -> FleetBeat | None:
        return pacer.pace(
            self._delegate.build_heartbeat(),
            len(self._peers),
            self._clock.now_s(),
            follows=self._follows,
        )

    def _take_reply(
        self,
        address: str,
        pacer: BeatPacer,
        reply: Message,
    ) -> None:
        pacer.confirm()
        if isinstance(reply, FleetBeat):
            self.handle_heartbeat(reply)
            return
        for peer in self._peers.values():
            if peer.member.peers == address and peer.is_live:
                peer.heard_s = self._clock.now_s()

    async def _answer(self, message: Message) -> Message:
        if isinstance(message, FleetBeat):
            self.handle_heartbeat(message)
            # Who describes itself may know nothing of this instance yet.
            return self._delegate.build_heartbeat() if message.member else Ok()
        if isinstance(message, RowsRelay):
            self._delegate.apply_relay(message)
        return Ok()

    def _forget(self, now_s: float) -> None:
        for name, peer in list(self._peers.items()):
            if now_s - peer.heard_s > _FORGET_S:
                self._peers.pop(name)
                self.on_change()
        for address, known_s in list(self._known_s.items()):
            if now_s - known_s > _FORGET_S and address in self._links:
                self._links.pop(address)
                self._known_s.pop(address)
                self._scopes.pop(address).cancel()
