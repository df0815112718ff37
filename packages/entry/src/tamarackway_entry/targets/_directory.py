"""The targets of all services and the state that holds for each."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from tamarackway_core.membership import Member
from tamarackway_core.places import State, Target

from tamarackway_entry.peers import PeerService
from tamarackway_entry.plans import CurrentPlan
from tamarackway_entry.platform import InventoryService
from tamarackway_entry.telemetry import component_logger

_MAX_MARKS: Final = 1000
_log = component_logger('targets')


class TargetDirectory:
    """Joins what the list, the plan, peers and targets say of targets.

    :param inventory: the instance list.
    :param current: the plan in force.
    :param peers: the other entry instances.

    A target that any of them calls leaving is leaving, until it is started
    anew and has a higher incarnation.
    """

    def __init__(
        self,
        inventory: InventoryService,
        current: CurrentPlan,
        peers: PeerService,
    ) -> None:
        """Start without marks."""
        self._inventory = inventory
        self._current = current
        self._marks: dict[str, None] = {}
        peers.add_listener(self._hear)

    @property
    def leaving_incarnations(self) -> tuple[str, ...]:
        """``name/incarnation`` of targets that are leaving by their word."""
        return tuple(self._marks)

    def mark_leaving(self, target: Target) -> None:
        """Record that a target has told that it is leaving."""
        mark = _mark(target)
        if mark not in self._marks:
            _log.info('%s says that it is leaving.', target.name)
        self._add_marks([mark])

    def list_all(self) -> list[Target]:
        """Return all targets with the state that holds for each."""
        return [
            self._with_state(target)
            for target in self._inventory.inventory.targets
        ]

    def list_service(self, service: str) -> list[Target]:
        """Return the targets of a service with their states."""
        return [
            self._with_state(target)
            for target in self._inventory.inventory.targets
            if target.service == service
        ]

    def _with_state(self, target: Target) -> Target:
        rules = self._current.rules
        planned = rules is not None and rules.find_leaving(target.name)
        if planned or _mark(target) in self._marks:
            return replace(target, state=State.LEAVING)
        return target

    def _hear(self, member: Member) -> None:
        self._add_marks(member.leaving)

    def _add_marks(self, marks: Iterable[str]) -> None:
        for mark in marks:
            self._marks[mark] = None
        while len(self._marks) > _MAX_MARKS:
            self._marks.pop(next(iter(self._marks)))


def _mark(target: Target) -> str:
    return f'{target.name}/{target.incarnation}'
