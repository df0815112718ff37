"""A fleet of fake services, fake targets and entry instances on loopback."""

import signal
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import anyio
import httpcore

from tamarackway_bench.fleet._caller import Caller
from tamarackway_bench.fleet._http import fetch
from tamarackway_bench.fleet._layout import EntryNode, Layout, TargetNode
from tamarackway_bench.fleet._processes import Processes
from tamarackway_bench.fleet._settings import TOKEN, render_settings
from tamarackway_bench.fleet._spec import FleetSpec

_FAKES_MODULE: Final = 'tamarackway_standins'
_DAEMON_MODULE: Final = 'tamarackway_entry'
_READY_TIMEOUT_S: Final = 30.0
_POLL_INTERVAL_S: Final = 0.05
_OK: Final = 200
_MAX_LOG_EXCERPT: Final = 2000


class FleetError(Exception):
    """A process did not become ready; its log is in the fleet's folder."""


class Fleet:
    """Context manager that runs all processes of a fleet.

    :param spec: regions, services and delays of the fleet.
    :param folder: directory for settings, logs and the journal.
    :param extra_settings: TOML sections added to each settings file.
    """

    def __init__(
        self,
        spec: FleetSpec,
        folder: Path,
        extra_settings: str = '',
    ) -> None:
        """Allocate addresses without starting any process."""
        self.layout = Layout(spec)
        self.folder = folder
        self.journal = folder / 'journal.txt'
        self.token = TOKEN
        self._extra_settings = extra_settings
        self._processes = Processes(folder)
        self._incarnations: dict[str, int] = {}

    async def __aenter__(self) -> Self:
        """Start all processes and wait until they respond."""
        try:
            await self._start()
        except BaseException:
            await self._processes.stop_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill all processes."""
        with anyio.CancelScope(shield=True):
            await self._processes.stop_all()

    def caller(self, region: str = '') -> Caller:
        """Return a caller that knows all entry instances.

        :param region: region whose instances it tries first.
        """
        ordered = sorted(
            self.layout.entries,
            key=lambda entry: entry.callers.region != region,
        )
        network = ordered[0].callers.host.rsplit('.', 1)[0]
        return Caller(
            [entry.callers.relay_address for entry in ordered],
            f'{network}.200',
        )

    def entry(self, name: str) -> EntryNode:
        """Return an entry instance by name."""
        for entry in self.layout.entries:
            if entry.name == name:
                return entry
        raise KeyError(name)

    def targets(self, service: str) -> list[TargetNode]:
        """Return the targets of a service."""
        return [
            target
            for target in self.layout.targets
            if target.service == service
        ]

    async def start_entry(self, entry: EntryNode) -> None:
        """Start an entry instance and add it to the instance list."""
        path = self.folder / f'{entry.name}.toml'
        text = render_settings(self.layout, entry, self._extra_settings)
        path.write_text(text, encoding='utf-8')
        self._processes.start(
            entry.name,
            _DAEMON_MODULE,
            ['run', '--settings', str(path)],
        )
        await self._register(
            'instances',
            entry.name,
            {
                'name': entry.name,
                'place': {
                    'region': entry.callers.region,
                    'failure_domain': entry.callers.failure_domain,
                },
                'callers': entry.callers.relay_address,
                'peers': entry.peers.relay_address,
                'admin': entry.admin.address,
            },
        )

    async def start_target(self, target: TargetNode) -> None:
        """Start a target and register it under a new incarnation."""
        self._incarnations[target.name] = (
            self._incarnations.get(target.name, 0) + 1
        )
        arguments = {
            'listen': target.node.address,
            'name': target.name,
            'service': target.service,
            'slots': target.slots,
            'work-s': target.work_s,
            'seed': len(self._incarnations),
            'journal': self.journal,
        }
        self._start_fake(target.name, 'target', arguments)
        await self.register_target(target, 'live')

    async def register_target(self, target: TargetNode, state: str) -> None:
        """Add a target to the instance list, or update its entry.

        :param target: the target.
        :param state: state to register it with.
        """
        await self._register(
            'targets',
            target.name,
            {
                'name': target.name,
                'service': target.service,
                'place': {
                    'region': target.node.region,
                    'failure_domain': target.node.failure_domain,
                },
                'address': target.node.relay_address,
                'slots': target.slots,
                'state': state,
                'incarnation': self._incarnations[target.name],
            },
        )

    async def deregister(self, name: str) -> None:
        """Remove a process from the instance list."""
        address = self.layout.platform['instances'].address
        await fetch('DELETE', address, f'/v1/instances/{name}')

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        await self._processes.kill(name)

    async def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        self._processes.send_signal(name, signal.SIGTERM)
        return await self._processes.wait(name)

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self._processes.send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._processes.send_signal(name, signal.SIGCONT)

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        return self._processes.is_running(name)

    def pid(self, name: str) -> int:
        """Return the process ID."""
        return self._processes.pid(name)

    def read_log(self, name: str) -> str:
        """Return the combined stdout and stderr of a process."""
        path = self._processes.log_path(name)
        return path.read_text(encoding='utf-8', errors='replace')

    def read_journal(self) -> list[str]:
        """Return a line ``key target path`` for each run on any target."""
        if not self.journal.exists():
            return []
        return self.journal.read_text(encoding='utf-8').splitlines()

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Inject or clear faults of a fake service or target.

        :param name: ``table``, ``objects``, ``instances`` or a target.
        :param faults: fields of its ``/faults`` document.
        """
        node = self.layout.platform.get(name)
        if node is None:
            node = next(
                target.node
                for target in self.layout.targets
                if target.name == name
            )
        await fetch('PUT', node.address, '/faults', faults)

    async def partition(self, pairs: list[tuple[str, str]]) -> None:
        """Partition the network between pairs of places or regions.

        The list replaces earlier partitions; an empty list removes them all.
        """
        await fetch(
            'PUT', self.layout.links_address, '/topology', {'cuts': pairs}
        )

    async def black_hole_connections(self, relays: list[str]) -> int:
        """Black-hole the open connections to some relay addresses.

        Returns the number of connections.
        """
        response = await fetch(
            'POST', self.layout.links_address, '/silence', relays
        )
        count: int = response['connections']
        return count

    async def wait_ready(self, names: list[str] | None = None) -> None:
        """Wait until entry instances are ready.

        :param names: names of the instances, or None for all.
        """
        for entry in self.layout.entries:
            if names is None or entry.name in names:
                address = entry.callers.address
                await self._wait_until_responding(
                    entry.name, address, '/readyz'
                )

    async def _start(self) -> None:
        for name, node in self.layout.platform.items():
            arguments: dict[str, Any] = {'listen': node.address}
            self._start_fake(name, name, arguments)
        listen = {'listen': self.layout.links_address}
        self._start_fake('links', 'links', listen)
        for name, node in self.layout.platform.items():
            await self._wait_until_responding(name, node.address, '/faults')
        await self._wait_until_responding(
            'links', self.layout.links_address, '/relays'
        )
        await self._configure_links()
        async with anyio.create_task_group() as group:
            for target in self.layout.targets:
                group.start_soon(self.start_target, target)
            for entry in self.layout.entries:
                group.start_soon(self.start_entry, entry)
        for target in self.layout.targets:
            await self._wait_until_responding(
                target.name, target.node.address, '/health'
            )
        for entry in self.layout.entries:
            await self._wait_until_responding(
                entry.name, entry.callers.address, '/livez'
            )

    async def _configure_links(self) -> None:
        spec = self.layout.spec
        await fetch(
            'PUT',
            self.layout.links_address,
            '/topology',
            {
                'places': self.layout.places_by_network(),
                'domain_ms': spec.domain_ms,
                'region_ms': spec.region_ms,
            },
        )
        relays = [
            {
                'listen': node.relay_address,
                'forward': node.address,
                'place': node.place,
            }
            for node in self.layout.list_nodes()
        ]
        if not spec.direct:
            await fetch('PUT', self.layout.links_address, '/relays', relays)

    def _start_fake(
        self,
        name: str,
        kind: str,
        arguments: dict[str, Any],
    ) -> None:
        options = [
            text
            for option, setting in arguments.items()
            for text in (f'--{option}', str(setting))
        ]
        self._processes.start(name, _FAKES_MODULE, [kind, *options])

    async def _register(
        self,
        kind: str,
        name: str,
        record: dict[str, Any],
    ) -> None:
        address = self.layout.platform['instances'].address
        document = {'kind': kind, 'about': record}
        await fetch('PUT', address, f'/v1/instances/{name}', document)

    async def _wait_until_responding(
        self, name: str, address: str, path: str
    ) -> None:
        with anyio.move_on_after(_READY_TIMEOUT_S):
            while not await _is_responding(address, path):
                if not self._processes.is_running(name):
                    break
                await anyio.sleep(_POLL_INTERVAL_S)
            else:
                return
        log = self._processes.log_path(name).read_text(errors='replace')
        raise FleetError(f'{name} is not ready:\n{log[-_MAX_LOG_EXCERPT:]}')


async def _is_responding(address: str, path: str) -> bool:
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'http://{address}{path}'
            response = await pool.request('GET', url)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False
    return response.status in {_OK, 405}
