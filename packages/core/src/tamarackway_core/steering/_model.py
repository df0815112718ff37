"""Frozen data classes for routes, services, targets and their limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackway_core.numbers import Serial
from tamarackway_core.places import Address, Place


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of one service of a route.

    :param service: name of the service.
    :param weight: weight relative to the other services of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for requests to one host and path prefix.

    :param name: name of the route.
    :param host: host name of the requests.
    :param prefix: path prefix, with a slash at both ends.
    :param shares: services of the route with their weights.
    :param idempotent: whether a request may run more than once.
    :param max_attempts: maximum number of targets that a request is sent to.
    :param timeout_s: maximum time until the caller gets a response.
    :param target_latency_s: latency objective of the route.
    :param priority: priority of the route; 0 is the highest.
    :param sticky: whether requests with the same affinity key should go to the
        same target.
    :param home_regions: regions that may serve the route; empty for all.
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
    """Limits that the operator sets for one service.

    :param name: name of the service.
    :param max_connections: connections to one target from all instances.
    :param cold_s: time in seconds for which a target is cold after its start.
    :param cold_per_s: maximum requests per second to a cold target.
    """

    name: str
    max_connections: int = 0
    cold_s: float = 0
    cold_per_s: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    :param header_bytes: maximum size of the request line and headers.
    :param body_bytes: maximum size of a request body.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operator's configuration.

    :param version: number that the operator gave it.
    :param routes: routes of requests.
    :param services: limits by service.
    :param limits: limits on callers.
    :param digest: digest of its content, which tells it from another one with
        the same number.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    digest: str = field(default='', compare=False)


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Description of a target, as published by itself.

    :param name: unique name of the target.
    :param incarnation: increases with each restart of the target.
    :param service: service that the target runs.
    :param place: region and failure domain of the target.
    :param address: address for requests.
    :param slots: number of requests that the target runs concurrently.
    :param leaving: whether it accepts no new requests.
    :param cold_left_s: remaining time for which it is cold, at the time of
        publication.
    :param sequence: increases with each record of the same incarnation.
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
class LeavingTarget:
    """A target that said in a response that it is leaving.

    :param name: name of the target.
    :param incarnation: incarnation of the target that said so.
    """

    name: str
    incarnation: Serial


@dataclass(frozen=True, slots=True)
class OutdatedTarget:
    """A target that is gone or leaving, whatever its earlier records say.

    :param name: name of the target.
    :param incarnation: incarnation of its last record.
    :param sequence: sequence of its last record.
    """

    name: str
    incarnation: Serial
    sequence: Serial


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target, as reported with a response.

    :param running: number of running requests.
    :param waiting: number of requests that wait for a slot.
    :param slots: number of requests that it runs concurrently.
    :param slowdown: current run times of the target relative to its normal
        ones.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
