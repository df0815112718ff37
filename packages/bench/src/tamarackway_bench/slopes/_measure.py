"""Measures the costs of the parts that grow with the size of the system."""

import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import asdict
from typing import Final

import msgspec
from tamarackway_core.limits import grant
from tamarackway_core.membership import elect
from tamarackway_core.places import Inventory
from tamarackway_core.sheet import PlanRules, parse_sheet
from tamarackway_core.wire import Envelope, Heartbeat, decode, encode

from tamarackway_bench.slopes import _builders as build
from tamarackway_bench.slopes._fit import Slope, fit

DAEMONS: Final = 6800
BLOCKS: Final = 2_300_000
SITES: Final = 1900
_US_PER_S: Final = 1_000_000
_MS_PER_S: Final = 1000
_KIB: Final = 1024
_MIB: Final = 1_048_576
_REPEATS: Final = 5
_MEMBERS: Final = (100, 400, 1600)
_TARGETS: Final = (20, 200, 1000)
_ROWS: Final = (100, 1000, 4000)


def measure_slopes() -> Iterator[Slope]:
    """Yield the slope of each cost, extrapolated to the letter's size."""
    yield from _measure_membership()
    yield from _measure_plans()
    yield from _measure_targets()
    yield from _measure_blocks()


def _measure_membership() -> Iterator[Slope]:
    yield fit(
        'heartbeats.cpu',
        'peer, encode and decode',
        'us',
        DAEMONS,
        _MEMBERS,
        _time_heartbeats_us,
    )
    yield fit(
        'heartbeats.bytes',
        'peer, sent and received once',
        'bytes',
        DAEMONS,
        _MEMBERS,
        lambda peers: 2 * peers * len(_encode_heartbeat(1)),
    )
    yield fit(
        'membership.memory',
        'member',
        'KiB',
        DAEMONS,
        _MEMBERS,
        lambda members: _allocated(lambda: build.build_view(members)) / _KIB,
    )
    yield fit(
        'election.cpu',
        'candidate',
        'us',
        DAEMONS,
        _MEMBERS,
        lambda count: _time_us(
            lambda: elect(map(str, range(count)), 'task'),
        ),
    )
    yield fit(
        'leases.row',
        'holder',
        'bytes',
        DAEMONS,
        (10, 100, 400),
        lambda holders: len(json.dumps(asdict(build.build_leases(holders)))),
    )
    yield fit(
        'leases.cpu',
        'holder',
        'us',
        DAEMONS,
        (10, 100, 400),
        _time_grant_us,
    )


def _measure_plans() -> Iterator[Slope]:
    yield fit(
        'plan.cpu',
        'row, parse and index',
        'us',
        SITES,
        _ROWS,
        lambda rows: _time_us(
            lambda: PlanRules(parse_sheet(build.build_sheet(rows))),
        ),
    )
    yield fit(
        'plan.memory',
        'row',
        'KiB',
        SITES,
        _ROWS,
        lambda rows: (
            _allocated(lambda: PlanRules(parse_sheet(build.build_sheet(rows))))
            / _KIB
        ),
    )
    yield fit(
        'plan.bytes',
        'row',
        'bytes',
        SITES,
        _ROWS,
        lambda rows: len(build.build_sheet(rows)),
    )


def _measure_targets() -> Iterator[Slope]:
    yield fit(
        'inventory.cpu',
        'target, one read',
        'us',
        SITES,
        _TARGETS,
        _time_inventory_us,
    )
    yield fit(
        'inventory.bytes',
        'target, one read',
        'bytes',
        SITES,
        _TARGETS,
        lambda count: len(build.build_inventory_json(count)),
    )
    yield fit(
        'choice.cpu',
        'target of the region',
        'us',
        SITES,
        _TARGETS,
        _time_choice_us,
    )
    yield fit(
        'router.memory',
        'target',
        'KiB',
        SITES,
        _TARGETS,
        lambda count: _allocated(lambda: build.build_router(count)) / _KIB,
    )


def _measure_blocks() -> Iterator[Slope]:
    yield fit(
        'blocks.memory',
        'client block in packed arrays',
        'MiB',
        BLOCKS,
        (20_000, 80_000, 320_000),
        lambda blocks: (
            sum(
                part.itemsize * len(part) for part in build.build_blocks(blocks)
            )
            / _MIB
        ),
    )


def _encode_heartbeat(number: int) -> bytes:
    heartbeat = Heartbeat(build.build_member(number))
    return encode(Envelope(number, heartbeat))


def _time_heartbeats_us(peers: int) -> float:
    def exchange() -> None:
        for number in range(peers):
            decode(_encode_heartbeat(number))

    return _time_us(exchange)


def _time_grant_us(holders: int) -> float:
    table = build.build_leases(holders)
    return _time_us(lambda: grant(table, 10_000, 'instance-0', 10, ()))


def _time_inventory_us(targets: int) -> float:
    body = build.build_inventory_json(targets)
    return _time_us(lambda: msgspec.convert(json.loads(body), Inventory))


def _time_choice_us(targets: int) -> float:
    router, region = build.build_router(targets)
    rng = random.Random(1)
    return _time_us(lambda: router.choose([region], 0, rng))


def _time_us(function: Callable[[], object]) -> float:
    best_s = float('inf')
    for _ in range(_REPEATS):
        began_s = time.process_time()
        count = 0
        while time.process_time() - began_s < 1 / _MS_PER_S or not count:
            function()
            count += 1
        best_s = min(best_s, (time.process_time() - began_s) / count)
    return best_s * _US_PER_S


def _allocated(function: Callable[[], object]) -> int:
    tracemalloc.start()
    kept = function()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size
