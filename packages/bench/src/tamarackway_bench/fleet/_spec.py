"""Sizes and network delays of the two reference fleets."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Targets of one service.

    :param name: name of the service.
    :param targets: number of targets.
    :param slots: requests that each target runs concurrently.
    :param work_s: mean processing time of a request in seconds.
    """

    name: str
    targets: int
    slots: int
    work_s: float = 0.01


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Regions, services and network delays of a fleet.

    :param sheet: file name of the example sheet.
    :param regions: names of the regions; the platform is in the first.
    :param services: services with their targets.
    :param entries: number of entry instances.
    :param domain_ms: one-way delay between failure domains of a region, in ms.
    :param region_ms: one-way delay between regions, in ms.
    :param direct: connect processes directly, without relays and delays.
    """

    sheet: str
    regions: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    entries: int
    domain_ms: float
    region_ms: float
    direct: bool = False


SKALNI: Final = FleetSpec(
    sheet='skalni-sit.csv',
    regions=('Bohemia', 'Moravia', 'Silesia'),
    services=(
        ServiceSpec('status-lookup', 20, 3),
        ServiceSpec('defect-report', 10, 3, 0.02),
        ServiceSpec('closure-order', 10, 3, 0.02),
    ),
    entries=9,
    domain_ms=0.5,
    region_ms=10,
)

LEITURA: Final = FleetSpec(
    sheet='leitura-viva.csv',
    regions=('Pernambuco', 'Ceará', 'Bahia'),
    services=(
        ServiceSpec('rota-lookup', 15, 6),
        ServiceSpec('swap-confirmation', 10, 4, 0.02),
        ServiceSpec('keyholder-assignment', 10, 3, 0.02),
    ),
    entries=9,
    domain_ms=1,
    region_ms=50,
)
