"""Measures the costs that grow with the size of the deployment."""

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
from tamarackway_bench.slopes._fit import LinearFit, fit_line

# Size of the full deployment.
ENTRY_INSTANCES: Final = 6800
CLIENT_BLOCKS: Final = 2_300_000
SITES: Final = 1900
_US_PER_S: Final = 1_000_000
_MS_PER_S: Final = 1000
_KIB: Final = 1024
_MIB: Final = 1_048_576
_REPEATS: Final = 5
_MEMBER_COUNTS: Final = (100, 400, 1600)
_TARGET_COUNTS: Final = (20, 200, 1000)
_ROW_COUNTS: Final = (100, 1000, 4000)


def measure_slopes() -> Iterator[LinearFit]:
    """Yield the fit of each cost, extrapolated to the full deployment."""
    yield from _measure_membership()
    yield from _measure_plans()
    yield from _measure_targets()
    yield from _measure_blocks()


def _measure_membership() -> Iterator[LinearFit]:
    yield fit_line(
        'heartbeats.cpu',
        'peer, encode and decode',
        'us',
        ENTRY_INSTANCES,
        _MEMBER_COUNTS,
        _measure_heartbeats_us,
    )
    yield fit_line(
        'heartbeats.bytes',
        'peer, sent and received once',
        'bytes',
        ENTRY_INSTANCES,
        _MEMBER_COUNTS,
        lambda peers: 2 * peers * len(_encode_heartbeat(1)),
    )
    yield fit_line(
        'membership.memory',
        'member',
        'KiB',
        ENTRY_INSTANCES,
        _MEMBER_COUNTS,
        lambda members: (
            _measure_allocated_bytes(lambda: build.build_view(members)) / _KIB
        ),
    )
    yield fit_line(
        'election.cpu',
        'candidate',
        'us',
        ENTRY_INSTANCES,
        _MEMBER_COUNTS,
        lambda iterations: _measure_cpu_us(
            lambda: elect(map(str, range(iterations)), 'task'),
        ),
    )
    yield fit_line(
        'leases.row',
        'holder',
        'bytes',
        ENTRY_INSTANCES,
        (10, 100, 400),
        lambda holders: len(json.dumps(asdict(build.build_leases(holders)))),
    )
    yield fit_line(
        'leases.cpu',
        'holder',
        'us',
        ENTRY_INSTANCES,
        (10, 100, 400),
        _measure_grant_us,
    )


def _measure_plans() -> Iterator[LinearFit]:
    yield fit_line(
        'plan.cpu',
        'row, parse and index',
        'us',
        SITES,
        _ROW_COUNTS,
        lambda rows: _measure_cpu_us(
            lambda: PlanRules(parse_sheet(build.build_sheet(rows))),
        ),
    )
    yield fit_line(
        'plan.memory',
        'row',
        'KiB',
        SITES,
        _ROW_COUNTS,
        lambda rows: (
            _measure_allocated_bytes(
                lambda: PlanRules(parse_sheet(build.build_sheet(rows)))
            )
            / _KIB
        ),
    )
    yield fit_line(
        'plan.bytes',
        'row',
        'bytes',
        SITES,
        _ROW_COUNTS,
        lambda rows: len(build.build_sheet(rows)),
    )


def _measure_targets() -> Iterator[LinearFit]:
    yield fit_line(
        'inventory.cpu',
        'target, one read',
        'us',
        SITES,
        _TARGET_COUNTS,
        _measure_inventory_us,
    )
    yield fit_line(
        'inventory.bytes',
        'target, one read',
        'bytes',
        SITES,
        _TARGET_COUNTS,
        lambda iterations: len(build.build_inventory_json(iterations)),
    )
    yield fit_line(
        'choice.cpu',
        'target of the region',
        'us',
        SITES,
        _TARGET_COUNTS,
        _measure_choice_us,
    )
    yield fit_line(
        'router.memory',
        'target',
        'KiB',
        SITES,
        _TARGET_COUNTS,
        lambda iterations: (
            _measure_allocated_bytes(lambda: build.build_router(iterations))
            / _KIB
        ),
    )


def _measure_blocks() -> Iterator[LinearFit]:
    yield fit_line(
        'blocks.memory',
        'client block in packed arrays',
        'MiB',
        CLIENT_BLOCKS,
        (20_000, 80_000, 320_000),
        lambda blocks: (
            sum(
                packed.itemsize * len(packed)
                for packed in build.build_blocks(blocks)
            )
            / _MIB
        ),
    )


def _encode_heartbeat(number: int) -> bytes:
    heartbeat = Heartbeat(build.build_member(number))
    return encode(Envelope(number, heartbeat))


def _measure_heartbeats_us(peers: int) -> float:
    def encode_and_decode() -> None:
        for number in range(peers):
            decode(_encode_heartbeat(number))

    return _measure_cpu_us(encode_and_decode)


def _measure_grant_us(holders: int) -> float:
    table = build.build_leases(holders)
    return _measure_cpu_us(lambda: grant(table, 10_000, 'instance-0', 10, ()))


def _measure_inventory_us(targets: int) -> float:
    body = build.build_inventory_json(targets)
    return _measure_cpu_us(lambda: msgspec.convert(json.loads(body), Inventory))


def _measure_choice_us(targets: int) -> float:
    router, region = build.build_router(targets)
    rng = random.Random(1)
    return _measure_cpu_us(lambda: router.choose([region], 0, rng))


def _measure_cpu_us(function: Callable[[], object]) -> float:
    best_s = float('inf')
    for _ in range(_REPEATS):
        started_s = time.process_time()
        iterations = 0
        while time.process_time() - started_s < 1 / _MS_PER_S or not iterations:
            function()
            iterations += 1
        best_s = min(best_s, (time.process_time() - started_s) / iterations)
    return best_s * _US_PER_S


def _measure_allocated_bytes(function: Callable[[], object]) -> int:
    tracemalloc.start()
    result = function()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size
