"""Messages by which entry instances share rows read from the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tamarackway_core.limits import TargetRateLimit
from tamarackway_core.numbers import Duration, Rate, Serial
from tamarackway_core.places import parse_address
from tamarackway_core.quarantine import KnownLoss, Loss
from tamarackway_core.steering import LeavingTarget, OutdatedTarget


@dataclass(frozen=True, slots=True)
class FleetMember:
    """An entry instance, as described by itself.

    :param name: unique name of the instance.
    :param incarnation: incarnation of its process.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param callers: address for callers.
    :param peers: address for other entry instances.
    :param ready: whether it may be advertised to callers.
    :param leaving: whether it is shutting down.
    :param isolated: whether it reaches no target; its peers serve its requests.
    :param takes_detours: whether it serves requests of its peers. An earlier
        release does not say so, and would take a detour for a caller's request.
    """

    name: str
    incarnation: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    ready: bool = False
    leaving: bool = False
    isolated: bool = False
    takes_detours: bool = False

    def __post_init__(self) -> None:
        """Check the addresses, which come from other processes.

        :raises SettingsError: if one is not an IP address with a port.
        """
        parse_address(self.callers)
        parse_address(self.peers)


@dataclass(frozen=True, slots=True)
class FleetBeat:
    """Heartbeat with the state of the sender and of its followed tables.

    :param name: name of the sender.
    :param member: description of the sender, or None if it is unchanged since
        the last one that the peer received.
    :param positions: version of the last known change by table.
    :param ages_s: time since the store confirmed that position to the sender;
        tables that it receives only from peers are omitted.
    :param store_answers: whether the store responds to the sender.
    :param rates: requests of callers per second by service.
    :param losses: targets that were lost recently while running a request, for
        an earlier release, which ignores ``loss_changes``.
    :param known_from: version after which the sender knows all changes by
        table, removals included.
    :param rate_limits: limits that targets named to the sender recently.
    :param leaving_targets: targets that told the sender recently that they are
        leaving.
    :param histories: history of the store that the versions of each table
        belong to.
    :param outdated_targets: targets that a restored store lists, although the
        sender knows them to be gone or leaving.
    :param held_evacuations_s: for how many seconds the sender will hold each
        evacuation that a restored store lacks.
    :param unreachable_services: services whose targets the sender does not
        reach.
    :param configuration: number of the configuration in force at the sender, 0
        without one.
    :param configuration_written_in: history of the store in which that was
        certainly written, 0 if it is not known.
    :param loss_changes: losses that the sender has learnt of or seen refuted
        recently.
    :param loss_digest: digest of all losses that the sender knows and that are
        not refuted; empty from an earlier release.
    """

    name: str
    member: FleetMember | None
    positions: Mapping[str, Serial]
    ages_s: Mapping[str, Duration]
    store_answers: bool
    rates: Mapping[str, Rate]
    losses: tuple[Loss, ...] = ()
    known_from: Mapping[str, Serial] = field(default_factory=dict)
    rate_limits: tuple[TargetRateLimit, ...] = ()
    leaving_targets: tuple[LeavingTarget, ...] = ()
    histories: Mapping[str, Serial] = field(default_factory=dict)
    outdated_targets: tuple[OutdatedTarget, ...] = ()
    held_evacuations_s: Mapping[str, Duration] = field(default_factory=dict)
    unreachable_services: tuple[str, ...] = ()
    configuration: Serial = 0
    configuration_written_in: Serial = 0
    loss_changes: tuple[KnownLoss, ...] = ()
    loss_digest: str = ''


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row of a followed table.

    :param key: key of the row.
    :param content: content of the row; empty if it was removed.
    :param version: version of the store at its last change.
    :param removed: whether the row was removed.
    """

    key: str
    content: bytes
    version: Serial
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RowsRelay:
    """Relays changed rows of a followed table to a peer.

    :param table: name of the table.
    :param after: version before these rows; a receiver at this version has
        missed no change.
    :param position: version up to which the changes are complete.
    :param rows: changed rows in order of their versions.
    :param after_outage: whether the store was unavailable before.
    :param history: history of the store that the versions belong to.
    """

    table: str
    after: Serial
    position: Serial
    rows: tuple[StoredRow, ...]
    after_outage: bool = False
    history: Serial = 0


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the configuration in force at a peer."""


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """Reply with the configuration in force.

    :param content: its encoding in the store; empty without one.
    :param written_in: history of the store in which it was certainly written, 0
        if that is not known.
    """

    content: bytes
    written_in: Serial


@dataclass(frozen=True, slots=True)
class LossesRequest:
    """Requests the losses that a peer knows."""


@dataclass(frozen=True, slots=True)
class LossesReply:
    """Reply with the losses that the sender knows.

    :param losses: the losses, refuted ones included.
    """

    losses: tuple[KnownLoss, ...]
