"""Figures of one entry instance through real processes on loopback."""

import os
import statistics
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import anyio

from tamarackway_bench.figures._figure import Figure
from tamarackway_bench.figures._reports import count_writes
from tamarackway_bench.fleet import (
    Caller,
    Fleet,
    FleetSpec,
    ServiceSpec,
)

_SPEC: Final = FleetSpec(
    sheet='skalni-sit.csv',
    regions=('Bohemia',),
    services=(
        ServiceSpec('status-lookup', 4, 20, 0.0001),
        ServiceSpec('defect-report', 4, 20, 0.0001),
        ServiceSpec('closure-order', 1, 3, 0.0001),
    ),
    entries=1,
    domain_ms=0,
    region_ms=0,
    direct=True,
)
_CALLERS: Final = 20
_MS_PER_S: Final = 1000
_KIB: Final = 1024
_SHEETS: Final = Path(__file__).parents[5] / 'examples'


def measure_processes(*, quick: bool) -> Iterator[Figure]:
    """Yield the figures of one entry instance.

    :param quick: send fewer requests.
    """
    requests = 1000 if quick else 6000
    yield from anyio.run(_measure, requests)


async def _measure(requests: int) -> list[Figure]:
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(_SPEC, Path(folder)) as fleet:
            await submit_example(fleet)
            await anyio.sleep(2)
            return [
                *await _measure_lookups(fleet, requests),
                *await _measure_reports(fleet, requests // 4),
            ]


async def submit_example(fleet: Fleet) -> None:
    """Submit the example sheet, cut down to the fleet's regions.

    :param fleet: a fleet that runs.
    """
    spec = fleet.layout.spec
    lines = (_SHEETS / spec.sheet).read_text(encoding='utf-8').splitlines()
    others = [
        name
        for name in ('Bohemia', 'Moravia', 'Silesia')
        if name not in spec.regions
    ]
    kept = [
        line
        for line in lines
        if not any(name in line for name in others)
        and not line.startswith('capacity')
    ]
    caller = fleet.caller()
    headers = {'authorization': f'Bearer {fleet.token}'}
    address = fleet.layout.entries[0].admin.address
    sheet = '\n'.join([*kept, '']).encode()
    await caller.send('POST', address, '/v1/plan', headers, sheet)
    await caller.close()
    await fleet.wait_ready()


async def _measure_lookups(fleet: Fleet, requests: int) -> list[Figure]:
    target = fleet.layout.targets[0].node.address
    entry = fleet.layout.entries[0]
    path = '/v1/services/status-lookup/nets/1'
    bare = await _send_many(fleet.caller(), target, '/nets/1', 400, 1)
    address = entry.callers.address
    alone = await _send_many(fleet.caller(), address, path, 400, 1)
    before_s = read_cpu_s(fleet.pid(entry.name))
    began_s = time.monotonic()
    many = await _send_many(
        fleet.caller(),
        address,
        path,
        requests,
        _CALLERS,
    )
    elapsed_s = time.monotonic() - began_s
    cpu_s = read_cpu_s(fleet.pid(entry.name)) - before_s
    added_s = statistics.median(alone) - statistics.median(bare)
    resident = read_resident_mib(fleet.pid(entry.name))
    return [
        Figure('entry_added_p50', added_s * _MS_PER_S, 'ms'),
        Figure('entry_lookups_wall', len(many) / elapsed_s, '1/s'),
        Figure(
            'entry_lookups_per_core',
            len(many) / cpu_s,
            '1/s',
            at_least=700,
        ),
        Figure('entry_resident', resident, 'MiB'),
    ]


async def _measure_reports(fleet: Fleet, requests: int) -> list[Figure]:
    before = await count_writes(fleet)
    caller = fleet.caller()
    left = iter(range(requests))
    took_s: list[float] = []

    async def work() -> None:
        for _ in left:
            began_s = time.monotonic()
            await caller.run_once('defect-report', b'x')
            took_s.append(time.monotonic() - began_s)

    async with anyio.create_task_group() as group:
        for _ in range(_CALLERS):
            group.start_soon(work)
    await anyio.sleep(1)
    after = await count_writes(fleet)
    await caller.close()
    writes = (after - before) / requests
    p50_ms = statistics.median(took_s) * _MS_PER_S
    return [
        Figure('entry_table_writes_per_report', writes, '1', at_most=1),
        Figure('entry_reports_p50_at_20_callers', p50_ms, 'ms'),
    ]


async def _send_many(
    caller: Caller,
    address: str,
    path: str,
    requests: int,
    callers: int,
) -> list[float]:
    left = iter(range(requests))
    took_s: list[float] = []

    async def work() -> None:
        for _ in left:
            began_s = time.monotonic()
            reply = await caller.send('GET', address, path)
            if reply.status == 200:
                took_s.append(time.monotonic() - began_s)

    async with anyio.create_task_group() as group:
        for _ in range(callers):
            group.start_soon(work)
    await caller.close()
    return took_s


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def read_resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / _KIB
    return 0
