"""Selection of the entry instances that a caller should use."""

from collections.abc import Iterable, Sequence

from tamarackway_core.wire import FleetMember


def list_entries(
    members: Iterable[FleetMember],
    region: str,
    limit: int,
) -> Sequence[FleetMember]:
    """Return the instances that a caller should use.

    :param members: live instances, this one included.
    :param region: region of the caller.
    :param limit: maximum number of instances to return.

    Prefers ready instances in the region of the caller. Falls back to all
    ready instances, then to all that are not shutting down, then to all.
    """
    live = sorted(members, key=lambda member: member.name)
    remaining = [member for member in live if not member.leaving]
    ready = [member for member in remaining if member.ready]
    local = [member for member in ready if member.region == region]
    return (local or ready or remaining or live)[:limit]
