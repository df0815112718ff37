"""Frozen data classes for the sections of the settings file."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Who this instance is and where it listens.

    :param name: unique name of the instance.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param callers: address to listen on for callers.
    :param peers: address to listen on for other entry instances.
    :param admin: address to listen on for operators.
    :param outgoing_host: IP number that outgoing connections come from.
    :param max_instances: most entry instances that run at once.
    :param advertised_callers: address that callers are told, if not
        ``callers``.
    :param advertised_peers: address that peers are told, if not ``peers``.
    """

    name: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    admin: str
    outgoing_host: str
    max_instances: int = 11
    advertised_callers: str = ''
    advertised_peers: str = ''


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform.

    :param table: address of the table service.
    :param objects: address of the object store.
    :param instances: address of the instance list.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    table: str
    objects: str
    instances: str
    timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """How entry instances speak to each other.

    :param keys: shared secrets of 32 or more characters; the first one signs,
        all are accepted.
    :param seeds: addresses that are tried when the instance list is down.
    :param heartbeat_s: time between heartbeats in seconds.
    """

    keys: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    heartbeat_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Operator:
    """Someone who may use the administration API.

    :param name: name for the plan's history.
    :param token_sha256: SHA-256 of the bearer token in hexadecimal digits.
    """

    name: str
    token_sha256: str


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """Who may administer.

    :param operators: operators and their tokens.
    """

    operators: tuple[Operator, ...]


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits towards callers.

    :param max_body_bytes: largest body of a request.
    :param max_answer_bytes: largest body of an answer.
    :param advice_lifetime_s: time that callers may cache an answer of
        ``/v1/entries``.
    :param max_waiting: requests of one service that may wait for a slot.
    :param max_connections: requests that may be open at once.
    """

    max_body_bytes: int = 1_048_576
    max_answer_bytes: int = 8_388_608
    advice_lifetime_s: float = 5.0
    max_waiting: int = 200
    max_connections: int = 2000


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How targets are chosen.

    :param extra_share: hedges and retries for each first attempt.
    :param hedge_quantile: share of answers that come before a hedge is sent.
    :param distances_ms: one-way delays from this instance by region.
    """

    extra_share: float = 0.05
    hedge_quantile: float = 0.95
    distances_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """What the daemon tells about itself.

    :param log_level: least severe level that is logged.
    :param otlp: address of an OTLP/HTTP collector, or an empty string.
    :param trace_share: share of requests that are traced, from 0 to 1.
    :param max_decisions: requests whose decisions are kept for ``explain``.
    """

    log_level: str = 'INFO'
    otlp: str = ''
    trace_share: float = 0.01
    max_decisions: int = 2000


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings, one field for each section of the file."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings
    admin: AdminSettings
    callers: CallerSettings = field(default_factory=CallerSettings)
    routing: RoutingSettings = field(default_factory=RoutingSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
