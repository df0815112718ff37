"""Builders of test objects of a given size."""

import json
import random
from array import array
from typing import Any

from tamarackway_core.limits import LeaseTable, grant
from tamarackway_core.membership import Member, MembershipView
from tamarackway_core.places import Instance, Place, State, Target
from tamarackway_core.routing import (
    LeastCostPolicy,
    RegionChoice,
    RouterSettings,
    ServiceRouter,
)
from tamarackway_core.sheet import COLUMNS, PlanRow, RowKind


def build_member(number: int) -> Member:
    """Return a member record of typical size."""
    instance = Instance(
        f'instance-{number}',
        Place(f'region-{number % 21}', f'domain-{number % 61}'),
        f'10.0.{number // 250}.{number % 250}:8000',
        f'10.0.{number // 250}.{number % 250}:8100',
        f'10.0.{number // 250}.{number % 250}:8200',
    )
    return Member(
        instance,
        f'0193-{number:032d}',
        State.LIVE,
        17,
        123.4,
        {'status-lookup': 5, 'defect-report': 1},
    )


def build_view(members: int) -> MembershipView:
    """Return a membership view with the given number of members."""
    view = MembershipView()
    for number in range(members):
        view.record_heartbeat(build_member(number), 0)
    return view


def build_sheet(rows: int) -> str:
    """Return a sheet with the given number of rows."""
    lines = [','.join(COLUMNS), 'l0,lookup,service,,,,500,ms,why']
    lines.extend(
        f's{number},serve,service,region-{number},,,100,percent,why'
        for number in range(rows - 1)
    )
    return '\n'.join([*lines, ''])


def build_targets(count: int, region: str = 'region-0') -> list[Target]:
    """Return the given number of targets in one region."""
    return [
        Target(
            f'target-{number}',
            'service',
            Place(region, 'a'),
            f'10.1.{number // 250}.{number % 250}:9000',
            3,
        )
        for number in range(count)
    ]


def build_inventory_json(targets: int) -> bytes:
    """Return the JSON of an instance list with the given number of targets."""
    target_records: list[dict[str, Any]] = [
        {
            'name': target.name,
            'service': target.service,
            'place': {
                'region': target.place.region,
                'failure_domain': target.place.failure_domain,
            },
            'address': target.address,
            'slots': target.slots,
            'state': 'live',
            'incarnation': 1,
        }
        for target in build_targets(targets)
    ]
    return json.dumps({'instances': [], 'targets': target_records}).encode()


def build_router(targets: int) -> tuple[ServiceRouter, RegionChoice]:
    """Return a router with the given number of targets, and their region."""
    router = ServiceRouter(LeastCostPolicy(3), RouterSettings())
    router.update_targets(build_targets(targets), 0)
    row = PlanRow(
        'r',
        RowKind.SERVE,
        'service',
        'region-0',
        '',
        '',
        100,
        'percent',
        'why',
    )
    return router, RegionChoice('region-0', row, 1)


def build_leases(holders: int) -> LeaseTable:
    """Return a lease table with the given number of holders."""
    table = LeaseTable()
    for number in range(holders):
        holder = f'instance-{number}/0193-{number:032d}'
        table = grant(table, 10_000, holder, 10, ())
    return table


def build_blocks(blocks: int) -> 'tuple[array[int], array[int]]':
    """Return start addresses of client blocks and their sites, as arrays."""
    rng = random.Random(1)
    starts = array('I', sorted(rng.sample(range(1 << 32), blocks)))
    sites = array('H', (rng.randrange(1900) for _ in range(blocks)))
    return starts, sites
