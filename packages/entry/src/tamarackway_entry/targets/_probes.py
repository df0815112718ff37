"""Health probes, with each target probed by one entry instance."""

import json
from typing import Final

import anyio
from tamarackway_core.membership import elect
from tamarackway_core.places import State, Target

from tamarackway_entry.http import HttpError
from tamarackway_entry.peers import PeerService
from tamarackway_entry.settings import InstanceSettings
from tamarackway_entry.targets._directory import TargetDirectory
from tamarackway_entry.targets._dispatch import Dispatcher

_INTERVAL_S: Final = 1.0
_TIMEOUT_S: Final = 0.5


class ProbeService:
    """Probes the targets that are assigned to this instance.

    :param directory: the targets.
    :param dispatcher: sends the probes.
    :param peers: the other entry instances.
    :param instance: identity of this instance.

    Targets are distributed over the live instances by rendezvous hashing.
    Results of probes are shared in heartbeats.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        dispatcher: Dispatcher,
        peers: PeerService,
        instance: InstanceSettings,
    ) -> None:
        """Store the dependencies."""
        self._directory = directory
        self._dispatcher = dispatcher
        self._peers = peers
        self._instance = instance

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            names = [member.instance.name for member in self._peers.list_live()]
            names.append(self._instance.name)
            mine = [
                target
                for target in self._directory.list_all()
                if target.state == State.LIVE
                and elect(names, f'probe/{target.name}') == self._instance.name
            ]
            async with anyio.create_task_group() as group:
                for target in mine:
                    group.start_soon(self._probe, target)
            await anyio.sleep(_INTERVAL_S)

    async def _probe(self, target: Target) -> None:
        try:
            body = await self._dispatcher.fetch_health(target, _TIMEOUT_S)
            health = json.loads(body)
        except (HttpError, ValueError):
            return
        if isinstance(health, dict) and health.get('state') == 'leaving':
            self._directory.mark_leaving(target)
