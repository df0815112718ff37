"""Directory of the targets of all services and their states."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from tamarackway_core.membership import Member
from tamarackway_core.places import State, Target

from tamarackway_entry.peers import PeerService
from tamarackway_entry.plans import CurrentPlan
from tamarackway_entry.platform import InventoryService
from tamarackway_entry.telemetry import component_logger

_MAX_LEAVING: Final = 1000
_log = component_logger('targets')


class TargetDirectory:
    """Combines the state of targets from all sources.

    :param inventory: the instance list.
    :param current: the plan in force.
    :param peers: the other entry instances.

    The sources are the instance list, the plan, peers and the targets
    themselves. A target that any of them reports as leaving is leaving until
    it restarts with a higher incarnation.
    """

    def __init__(
        self,
        inventory: InventoryService,
        current: CurrentPlan,
        peers: PeerService,
    ) -> None:
        """Start without leaving targets."""
        self._inventory = inventory
        self._current = current
        self._leaving: dict[str, None] = {}
        peers.add_listener(self._handle_heartbeat)

    @property
    def leaving_incarnations(self) -> tuple[str, ...]:
        """Targets that report leaving, as ``name/incarnation``."""
        return tuple(self._leaving)

    def mark_leaving(self, target: Target) -> None:
        """Record that a target reported that it is leaving."""
        name = _format_incarnation(target)
        if name not in self._leaving:
            _log.info('Target %s reports that it is leaving.', target.name)
        self._add_leaving([name])

    def list_all(self) -> list[Target]:
        """Return all targets with their current states."""
        return [
            self._with_state(target)
            for target in self._inventory.inventory.targets
        ]

    def list_service(self, service: str) -> list[Target]:
        """Return the targets of a service with their current states."""
        return [
            self._with_state(target)
            for target in self._inventory.inventory.targets
            if target.service == service
        ]

    def _with_state(self, target: Target) -> Target:
        rules = self._current.rules
        planned = rules is not None and rules.find_leaving(target.name)
        if planned or _format_incarnation(target) in self._leaving:
            return replace(target, state=State.LEAVING)
        return target

    def _handle_heartbeat(self, member: Member) -> None:
        self._add_leaving(member.leaving)

    def _add_leaving(self, names: Iterable[str]) -> None:
        for name in names:
            self._leaving[name] = None
        while len(self._leaving) > _MAX_LEAVING:
            self._leaving.pop(next(iter(self._leaving)))


def _format_incarnation(target: Target) -> str:
    return f'{target.name}/{target.incarnation}'
