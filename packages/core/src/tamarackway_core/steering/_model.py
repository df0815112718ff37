"""Frozen data classes for routes, services, targets and their limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackway_core.places import Address, Place


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a route and its weight among the others.

    :param service: name of the service.
    :param weight: share relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix may go.

    :param name: name of the route.
    :param host: host name that callers use.
    :param prefix: path prefix, with a slash at both ends.
    :param shares: services of the route with their weights.
    :param idempotent: whether a request may run more than once.
    :param max_attempts: most targets that one request is sent to.
    :param timeout_s: longest time that a caller is kept waiting.
    :param target_latency_s: time within which an answer is on time.
    :param priority: rank of the route; 0 is the most urgent.
    :param sticky: whether targets that know a request's key are faster.
    :param home_regions: the only regions that may serve it; empty for all.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    idempotent: bool
    max_attempts: int = 1
    timeout_s: float = 10.0
    target_latency_s: float = 1.0
    priority: int = 0
    sticky: bool = False
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """What the operator says of one service.

    :param name: name of the service.
    :param max_connections: connections that one target accepts from all.
    :param cold_s: time that a target is cold after its start.
    :param cold_per_s: requests a second that a cold target bears.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """One target as it last described itself.

    :param name: unique name; another name means another target.
    :param incarnation: grows each time the target is started anew.
    :param service: service that the target runs.
    :param place: region and failure domain of the target.
    :param address: address for requests.
    :param slots: requests that the target runs at once.
    :param leaving: whether it takes no new requests.
    :param cold_left_s: time that it stayed cold from when it said so.
    :param sequence: grows with each description of one incarnation.
    """

    name: str
    incarnation: int
    service: str
    place: Place
    address: Address
    slots: int
    leaving: bool = False
    cold_left_s: float = 0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target tells of its load with an answer.

    :param running: requests that it runs.
    :param waiting: requests that wait for a slot.
    :param slots: requests that it runs at once.
    :param slowdown: how long work takes there now; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
