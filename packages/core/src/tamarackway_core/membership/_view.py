"""Failure detection by heartbeats."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Final

from tamarackway_core.places import Instance, State
from tamarackway_core.quarantine import Loss

DEAD_AFTER_S: Final = 2.0
_FORGET_AFTER_S: Final = 60.0
_NO_LOAD: Final[Mapping[str, int]] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Member:
    """Another entry instance, as its last heartbeat described it.

    :param instance: name, place and addresses.
    :param incarnation: version 7 UUID made when the process started.
    :param state: live or leaving, by its own word.
    :param plan_version: plan in force there.
    :param requests_per_s: requests that it serves in a second.
    :param in_flight: requests in flight there by service.
    :param leaving: ``name/incarnation`` of targets that told it that they
        are leaving.
    :param losses: recent losses of targets that it knows of.
    """

    instance: Instance
    incarnation: str
    state: State
    plan_version: int
    requests_per_s: float = 0
    in_flight: Mapping[str, int] = field(default_factory=lambda: _NO_LOAD)
    leaving: tuple[str, ...] = ()
    losses: tuple[Loss, ...] = ()


@dataclass(frozen=True, slots=True)
class _Sighting:
    member: Member
    heard_s: float


class MembershipView:
    """The entry instances that have been heard of.

    A member is alive while its heartbeats arrive, and leaving is final for an
    incarnation. A heartbeat of an older incarnation changes nothing.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._sightings: dict[str, _Sighting] = {}

    def record_heartbeat(self, member: Member, now_s: float) -> None:
        """Take in a heartbeat.

        :param member: what the heartbeat says.
        :param now_s: monotonic time in seconds.
        """
        name = member.instance.name
        known = self._sightings.get(name)
        if known is not None:
            if member.incarnation < known.member.incarnation:
                return
            same = member.incarnation == known.member.incarnation
            if same and known.member.state == State.LEAVING:
                member = replace(member, state=State.LEAVING)
        self._sightings[name] = _Sighting(member, now_s)

    def find(self, name: str) -> Member | None:
        """Return a member by name, alive or not, or None."""
        sighting = self._sightings.get(name)
        return sighting.member if sighting else None

    def list_members(self, now_s: float) -> list[Member]:
        """Return all members, with the state that holds now.

        :param now_s: monotonic time in seconds.

        Members that have been silent for long are forgotten.
        """
        self._sightings = {
            name: sighting
            for name, sighting in self._sightings.items()
            if now_s - sighting.heard_s < _FORGET_AFTER_S
        }
        return [
            sighting.member
            if now_s - sighting.heard_s < DEAD_AFTER_S
            else replace(sighting.member, state=State.DEAD)
            for sighting in self._sightings.values()
        ]

    def list_live(self, now_s: float) -> list[Member]:
        """Return the members that are alive and not leaving.

        :param now_s: monotonic time in seconds.
        """
        return [
            member
            for member in self.list_members(now_s)
            if member.state == State.LIVE
        ]
