"""Failure detection by heartbeats."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Final

from tamarackway_core.numbers import Serial
from tamarackway_core.places import Instance, State
from tamarackway_core.quarantine import Loss

DEAD_AFTER_S: Final = 2.0
_REMOVE_AFTER_S: Final = 60.0
_NO_REQUESTS: Final[Mapping[str, int]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Member:
    """Another entry instance, as described by its last heartbeat.

    :param instance: name, place and addresses of the instance.
    :param incarnation: version 7 UUID created at the start of the process.
    :param state: live or leaving, as reported by itself.
    :param plan_version: version of its plan in force.
    :param requests_per_s: requests that it serves per second.
    :param in_flight: its requests in flight by service.
    :param leaving: ``name/incarnation`` of targets that reported to it that
        they are leaving.
    :param losses: recent losses of targets known to it.
    :param plan_history: history of the table in which its plan was committed.
    """

    instance: Instance
    incarnation: str
    state: State
    plan_version: int
    requests_per_s: float = 0
    in_flight: Mapping[str, int] = field(default_factory=lambda: _NO_REQUESTS)
    leaving: tuple[str, ...] = ()
    losses: tuple[Loss, ...] = ()
    plan_history: Serial = 0


@dataclass(frozen=True, slots=True)
class _ReceivedHeartbeat:
    member: Member
    received_s: float


class MembershipView:
    """Entry instances that have sent heartbeats.

    A member is live while its heartbeats arrive, and leaving is final for an
    incarnation. Heartbeats of older incarnations are ignored.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._received: dict[str, _ReceivedHeartbeat] = {}

    def record_heartbeat(self, member: Member, now_s: float) -> None:
        """Update a member with a heartbeat.

        :param member: the sender of the heartbeat.
        :param now_s: monotonic time in seconds.
        """
        name = member.instance.name
        known = self._received.get(name)
        if known is not None:
            if member.incarnation < known.member.incarnation:
                return
            same_incarnation = member.incarnation == known.member.incarnation
            if same_incarnation and known.member.state == State.LEAVING:
                member = replace(member, state=State.LEAVING)
        self._received[name] = _ReceivedHeartbeat(member, now_s)

    def find(self, name: str) -> Member | None:
        """Return a member by name, in any state, or None."""
        received = self._received.get(name)
        return received.member if received else None

    def list_members(self, now_s: float) -> list[Member]:
        """Return all members with their current states.

        :param now_s: monotonic time in seconds.

        Members without a heartbeat for a long time are removed.
        """
        self._received = {
            name: received
            for name, received in self._received.items()
            if now_s - received.received_s < _REMOVE_AFTER_S
        }
        return [
            received.member
            if now_s - received.received_s < DEAD_AFTER_S
            else replace(received.member, state=State.DEAD)
            for received in self._received.values()
        ]

    def list_live(self, now_s: float) -> list[Member]:
        """Return the members that are live and not leaving.

        :param now_s: monotonic time in seconds.
        """
        return [
            member
            for member in self.list_members(now_s)
            if member.state == State.LIVE
        ]
