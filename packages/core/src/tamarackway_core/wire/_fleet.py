"""Messages by which entry instances share what the store told one of them."""

from collections.abc import Mapping
from dataclasses import dataclass

from tamarackway_core.quarantine import Loss


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One entry instance as it describes itself.

    :param name: unique name of the instance.
    :param incarnation: incarnation of its process.
    :param region: region of the instance.
    :param failure_domain: failure domain of the instance.
    :param callers: address that callers use.
    :param peers: address that other entry instances use.
    :param ready: whether it may be named to callers.
    :param leaving: whether a planned stop has begun.
    """

    name: str
    incarnation: str
    region: str
    failure_domain: str
    callers: str
    peers: str
    ready: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class FleetBeat:
    """Tells a peer that the sender is alive, and what it knows.

    :param name: name of the sender.
    :param member: the sender, or None if the peer knows it as it is.
    :param positions: version of the last change of each table that it knows.
    :param ages_s: time since the store itself confirmed that to it; tables
        that it only hears of from peers are left out.
    :param store_answers: whether the store answers the sender.
    :param rates: requests a second of callers by service.
    :param losses: targets that died lately while they ran a request.
    """

    name: str
    member: FleetMember | None
    positions: Mapping[str, int]
    ages_s: Mapping[str, float]
    store_answers: bool
    rates: Mapping[str, float]
    losses: tuple[Loss, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row of a followed table.

    :param key: key of the row.
    :param content: its bytes; empty if it was removed.
    :param version: version of the store at its last change.
    :param removed: whether the row is gone.
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RowsRelay:
    """Passes on changed rows of a followed table.

    :param table: name of the table.
    :param after: version of the last change before these; who knows it has
        missed none.
    :param position: version up to which these are all changes.
    :param rows: the changed rows in order.
    :param after_outage: whether the store had been away before.
    """

    table: str
    after: int
    position: int
    rows: tuple[StoredRow, ...]
    after_outage: bool = False
