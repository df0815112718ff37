"""Addresses and places of the processes of a fleet."""

from dataclasses import dataclass, replace
from typing import Final

from tamarackway_bench.fleet._processes import PortAllocator
from tamarackway_bench.fleet._spec import FleetSpec

DOMAINS: Final = ('a', 'b')
_FIRST_TARGET_HOST: Final = 100
_PLATFORM_HOST: Final = '127.1.1.250'
_RELAY_HOST: Final = '127.9.0.1'
PLATFORM_SERVICES: Final = ('table', 'objects', 'instances')


@dataclass(frozen=True, slots=True)
class Node:
    """One listening interface of a process.

    :param name: name of the process.
    :param region: region of the process.
    :param failure_domain: failure domain of the process.
    :param host: IP address that it listens on.
    :param port: port that it listens on.
    :param relay_address: address by which other processes reach it.
    """

    name: str
    region: str
    failure_domain: str
    host: str
    port: int
    relay_address: str

    @property
    def address(self) -> str:
        """Address that the interface listens on."""
        return f'{self.host}:{self.port}'

    @property
    def place(self) -> str:
        """Place as ``region/failure_domain``."""
        return f'{self.region}/{self.failure_domain}'


@dataclass(frozen=True, slots=True)
class EntryNode:
    """An entry instance and its three interfaces."""

    callers: Node
    peers: Node
    admin: Node

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.callers.name


@dataclass(frozen=True, slots=True)
class TargetNode:
    """A target and the load that it can take."""

    node: Node
    service: str
    slots: int
    work_s: float

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.node.name


class Layout:
    """Assigns processes round robin to regions and failure domains.

    :param spec: regions, services and sizes of the fleet.
    """

    def __init__(self, spec: FleetSpec) -> None:
        """Assign names, places and free ports."""
        self.spec = spec
        self._ports = PortAllocator()
        self.entries = [
            self._place_entry(index) for index in range(spec.entries)
        ]
        indexed_services = [
            (service, index)
            for service in spec.services
            for index in range(service.targets)
        ]
        self.targets = [
            TargetNode(
                self._place(
                    f'{service.name}-{index + 1}',
                    index,
                    _FIRST_TARGET_HOST + number // 6,
                ),
                service.name,
                service.slots,
                service.work_s,
            )
            for number, (service, index) in enumerate(indexed_services)
        ]
        self.platform = {
            name: Node(
                name,
                spec.regions[0],
                DOMAINS[0],
                _PLATFORM_HOST,
                self._ports.allocate(_PLATFORM_HOST),
                self._allocate_relay_address(),
            )
            for name in PLATFORM_SERVICES
        }
        if spec.direct:
            self._bypass_relays()
        self.links_address = (
            f'{_RELAY_HOST}:{self._ports.allocate(_RELAY_HOST)}'
        )

    def list_nodes(self) -> list[Node]:
        """Return all nodes that other processes reach through relays."""
        nodes = list(self.platform.values())
        nodes.extend(target.node for target in self.targets)
        for entry in self.entries:
            nodes.extend((entry.callers, entry.peers))
        return nodes

    def places_by_network(self) -> dict[str, str]:
        """Return places by the network of their addresses."""
        return {
            f'127.{number}.{position}.0/24': f'{region}/{domain}'
            for number, region in enumerate(self.spec.regions, 1)
            for position, domain in enumerate(DOMAINS, 1)
        }

    def _bypass_relays(self) -> None:
        self.entries = [
            EntryNode(
                _bypass(entry.callers),
                _bypass(entry.peers),
                entry.admin,
            )
            for entry in self.entries
        ]
        self.targets = [
            replace(target, node=_bypass(target.node))
            for target in self.targets
        ]
        self.platform = {
            name: _bypass(node) for name, node in self.platform.items()
        }

    def _place_entry(self, index: int) -> EntryNode:
        region = self.spec.regions[index % len(self.spec.regions)]
        number = index // len(self.spec.regions) + 1
        name = f'{region.lower().replace("á", "a")}-{number}'
        host = index // (len(self.spec.regions) * len(DOMAINS)) + 1
        callers, peers, admin = (
            self._place(name, index, host) for _ in range(3)
        )
        return EntryNode(callers, peers, admin)

    def _place(self, name: str, index: int, host_number: int) -> Node:
        regions = self.spec.regions
        region = index % len(regions)
        domain = index // len(regions) % len(DOMAINS)
        host = f'127.{region + 1}.{domain + 1}.{host_number}'
        return Node(
            name,
            regions[region],
            DOMAINS[domain],
            host,
            self._ports.allocate(host),
            self._allocate_relay_address(),
        )

    def _allocate_relay_address(self) -> str:
        return f'{_RELAY_HOST}:{self._ports.allocate(_RELAY_HOST)}'


def _bypass(node: Node) -> Node:
    return replace(node, relay_address=node.address)
