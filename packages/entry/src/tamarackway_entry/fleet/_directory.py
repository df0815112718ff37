"""Selection of the entry instances that a caller should use."""

from collections.abc import Iterable, Sequence

from tamarackway_core.wire import FleetMember


def select_instances(
    members: Iterable[FleetMember],
    region: str,
    limit: int,
) -> Sequence[FleetMember]:
    """Return the instances that a caller should use.

    :param members: live instances, this one included.
    :param region: region of the caller.
    :param limit: maximum number of instances to return.

    Prefers ready instances in the region of the caller, among them those that
    reach targets. Falls back to all ready instances, then to all that are not
    shutting down, then to all, so that the result is not empty while any
    instance is live.
    """
    live = sorted(members, key=lambda member: member.name)
    available = [member for member in live if not member.leaving]
    ready = [member for member in available if member.ready]
    local = [member for member in ready if member.region == region]
    direct = [member for member in local if not member.isolated]
    preferred = direct or local
    return (preferred or ready or available or live)[:limit]
