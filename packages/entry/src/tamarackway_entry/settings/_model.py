"""Data classes for the sections of the settings file."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Identity and addresses of this instance.

    :param name: unique name of the instance.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param callers: address to listen on for callers.
    :param peers: address to listen on for other entry instances.
    :param admin: address to listen on for operators.
    :param outgoing_host: source IP address of outgoing connections.
    :param max_instances: maximum number of concurrent entry instances.
    :param advertised_callers: address advertised to callers, if it differs
        from ``callers``.
    :param advertised_peers: address advertised to peers, if it differs from
        ``peers``.
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
    :param timeout_s: timeout of each request in seconds.
    """

    table: str
    objects: str
    instances: str
    timeout_s: float = 1.0


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Communication between entry instances.

    :param keys: shared secrets of 32 or more characters; the first one signs,
        all are accepted.
    :param seeds: addresses to contact when the instance list is unavailable.
    :param heartbeat_s: time between heartbeats in seconds.
    """

    keys: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    heartbeat_s: float = 0.5


@dataclass(frozen=True, slots=True)
class Operator:
    """A user of the administration API.

    :param name: name recorded in the plan history.
    :param token_sha256: SHA-256 of the bearer token in hexadecimal digits.
    """

    name: str
    token_sha256: str


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """Access to the administration API.

    :param operators: operators and their tokens.
    """

    operators: tuple[Operator, ...]


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Limits of the interface for callers.

    :param max_body_bytes: maximum size of a request body.
    :param max_answer_bytes: maximum size of a response body.
    :param advice_lifetime_s: time in seconds for which callers may cache a
        response of ``/v1/entries``.
    :param max_waiting: maximum number of queued requests per service.
    :param max_connections: maximum number of concurrent requests.
    """

    max_body_bytes: int = 1_048_576
    max_answer_bytes: int = 8_388_608
    advice_lifetime_s: float = 5.0
    max_waiting: int = 200
    max_connections: int = 2000


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Selection of targets.

    :param extra_share: budget of hedges and retries per first attempt.
    :param hedge_quantile: latency quantile after which a hedge is sent.
    :param distances_ms: one-way delays from this instance by region.
    """

    extra_share: float = 0.05
    hedge_quantile: float = 0.95
    distances_ms: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Logs, traces and recorded decisions.

    :param log_level: minimum level that is logged.
    :param otlp: address of an OTLP/HTTP collector, or an empty string.
    :param trace_share: fraction of requests that are traced, from 0 to 1.
    :param max_decisions: number of requests whose decisions are kept for
        ``explain``.
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
