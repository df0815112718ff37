"""Heartbeats and messages among entry instances."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, Protocol, TypeVar

import anyio
from anyio.abc import TaskGroup
from tamarackway_core.membership import Member, MembershipView
from tamarackway_core.places import parse_address
from tamarackway_core.wire import Heartbeat, Message, Ok

from tamarackway_entry.kernel import Clock
from tamarackway_entry.links import (
    PeerLink,
    PeerServer,
    PeerUnreachableError,
    send_heartbeats,
)
from tamarackway_entry.platform import InventoryService
from tamarackway_entry.settings import Settings
from tamarackway_entry.telemetry import Metrics, component_logger

_HEARTBEAT_TIMEOUT_S: Final = 1.0
_REQUEST_TIMEOUT_S: Final = 1.0
_MAX_MISSED_HEARTBEATS: Final = 60  # then a peer is disconnected
_log = component_logger('peers')
_MessageT = TypeVar('_MessageT')
_Handler = Callable[[Any], Awaitable[Message]]


class MemberSource(Protocol):
    """Supplies the member record of this instance for heartbeats."""

    def describe(self) -> Member:
        """Return the member record of this instance."""


class PeerService:
    """Maintains links to all peers, sends heartbeats and dispatches messages.

    :param settings: settings of the daemon.
    :param inventory: the instance list, which contains the peers.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        settings: Settings,
        inventory: InventoryService,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start without links."""
        self.members = MembershipView()
        self.local_member: MemberSource | None = None
        self._settings = settings
        self._inventory = inventory
        self._clock = clock
        self._metrics = metrics
        self._links: dict[str, PeerLink] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._addresses: dict[str, str] = {}
        self._handlers: dict[type[object], _Handler] = {}
        self._listeners: list[Callable[[Member], None]] = []

    def register_handler(
        self,
        kind: type[_MessageT],
        handler: Callable[[_MessageT], Awaitable[Message]],
    ) -> None:
        """Register the handler of a message type.

        :param kind: class of the message.
        :param handler: returns the reply.
        """
        self._handlers[kind] = handler

    def add_listener(self, listener: Callable[[Member], None]) -> None:
        """Register a function to call with each received heartbeat.

        :param listener: receives the member record of the sender.
        """
        self._listeners.append(listener)

    async def run(self) -> None:
        """Serve peers and send heartbeats until cancelled."""
        self.register_handler(Heartbeat, self._handle_heartbeat)
        server = PeerServer(
            parse_address(self._settings.instance.peers),
            self._settings.peers.keys,
            self._dispatch,
            _MAX_MISSED_HEARTBEATS * self._settings.peers.heartbeat_s,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            while True:
                self._update_links(group)
                live = self.list_live()
                self._metrics.live_peers.set(len(live))
                await anyio.sleep(self._settings.peers.heartbeat_s)

    def list_members(self) -> list[Member]:
        """Return the other entry instances, in any state."""
        return self.members.list_members(self._clock.now_s())

    def list_live(self) -> list[Member]:
        """Return the other live entry instances."""
        return self.members.list_live(self._clock.now_s())

    async def request(
        self,
        name: str,
        message: Message,
        timeout_s: float = _REQUEST_TIMEOUT_S,
    ) -> Message:
        """Send a request to a peer and return its reply.

        :param name: name of the peer.
        :param message: the request.
        :param timeout_s: maximum time to wait for the reply in seconds.
        :raises PeerUnreachableError: if no reply arrives in time.
        """
        address = self._addresses.get(name)
        link = self._links.get(address) if address else None
        if link is None:
            raise PeerUnreachableError(f'no link to {name}')
        return await link.request(message, timeout_s)

    async def broadcast(self, message: Message) -> int:
        """Send a message to all connected peers and return how many replied.

        :param message: the message.
        """
        replies: list[Message] = []

        async def send(name: str) -> None:
            try:
                replies.append(await self.request(name, message))
            except PeerUnreachableError as error:
                _log.info('Message to %s failed: %s.', name, error)

        async with anyio.create_task_group() as group:
            for name in list(self._addresses):
                group.start_soon(send, name)
        return len(replies)

    async def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all peers at once."""
        if self.local_member is not None:
            await self.broadcast(Heartbeat(self.local_member.describe()))

    def _update_links(self, group: TaskGroup) -> None:
        own = self._settings.instance.name
        wanted = {
            instance.peers
            for instance in self._inventory.inventory.instances
            if instance.name != own
        }
        wanted.update(member.instance.peers for member in self.list_members())
        if not wanted:
            wanted.update(self._settings.peers.seeds)
        wanted.discard(self._settings.instance.peers)
        for address in wanted - self._links.keys():
            self._links[address] = self._build_link(address)
            self._scopes[address] = anyio.CancelScope()
            group.start_soon(
                self._run_link,
                self._links[address],
                self._scopes[address],
            )
        for address in self._links.keys() - wanted:
            self._scopes.pop(address).cancel()
            self._links.pop(address)

    def _build_link(self, address: str) -> PeerLink:
        return PeerLink(
            parse_address(address),
            self._settings.instance.outgoing_host,
            self._settings.peers.keys,
        )

    async def _run_link(
        self,
        link: PeerLink,
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            async with anyio.create_task_group() as group:
                group.start_soon(link.run)
                group.start_soon(
                    send_heartbeats,
                    link,
                    self._settings.peers.heartbeat_s,
                    _HEARTBEAT_TIMEOUT_S,
                    self._build_heartbeat,
                    partial(self._handle_reply, str(link.address)),
                )

    def _build_heartbeat(self) -> Heartbeat | None:
        if self.local_member is None:
            return None
        return Heartbeat(self.local_member.describe())

    def _handle_reply(self, address: str, reply: Message) -> None:
        if isinstance(reply, Heartbeat):
            self._addresses[reply.member.instance.name] = address
            self._record_heartbeat(reply.member)

    async def _handle_heartbeat(self, message: Heartbeat) -> Message:
        self._record_heartbeat(message.member)
        if self.local_member is None:
            return Ok()
        return Heartbeat(self.local_member.describe())

    def _record_heartbeat(self, member: Member) -> None:
        if member.instance.name == self._settings.instance.name:
            return
        self.members.record_heartbeat(member, self._clock.now_s())
        for listener in self._listeners:
            listener(member)

    async def _dispatch(self, message: Message) -> Message:
        handler = self._handlers.get(type(message))
        if handler is None:
            _log.warning(
                'No handler for messages of type %s.',
                type(message).__name__,
            )
            return Ok()
        return await handler(message)
