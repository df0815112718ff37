"""Which entry instances callers should use."""

from collections.abc import Iterable, Sequence

from tamarackway_core.wire import FleetMember


def list_entries(
    members: Iterable[FleetMember],
    region: str,
    limit: int,
) -> Sequence[FleetMember]:
    """Return the instances that a caller should use.

    :param members: instances that are alive, this one included.
    :param region: region of the caller.
    :param limit: most instances to return.

    These are the ready ones of its own region; without any, all ready ones;
    without any again, all that are not about to stop.
    """
    alive = sorted(members, key=lambda member: member.name)
    staying = [member for member in alive if not member.leaving]
    ready = [member for member in staying if member.ready]
    near = [member for member in ready if member.region == region]
    return (near or ready or staying or alive)[:limit]
