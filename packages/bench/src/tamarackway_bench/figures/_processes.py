"""Benchmarks of one entry instance as a real process on loopback."""

import os
import statistics
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import anyio

from tamarackway_bench.figures._figure import Figure
from tamarackway_bench.figures._reports import read_transaction_count
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
_CONCURRENT_CALLERS: Final = 20
_MS_PER_S: Final = 1000
_KIB: Final = 1024
_EXAMPLES: Final = Path(__file__).parents[5] / 'examples'


def measure_processes(*, quick: bool) -> Iterator[Figure]:
    """Yield latency, throughput, memory and write figures of one instance.

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
    """Submit the example sheet, without capacity rows and absent regions.

    :param fleet: a running fleet.
    """
    spec = fleet.layout.spec
    lines = (_EXAMPLES / spec.sheet).read_text(encoding='utf-8').splitlines()
    absent_regions = [
        name
        for name in ('Bohemia', 'Moravia', 'Silesia')
        if name not in spec.regions
    ]
    kept_lines = [
        line
        for line in lines
        if not any(name in line for name in absent_regions)
        and not line.startswith('capacity')
    ]
    caller = fleet.caller()
    headers = {'authorization': f'Bearer {fleet.token}'}
    address = fleet.layout.entries[0].admin.address
    sheet = '\n'.join([*kept_lines, '']).encode()
    await caller.send('POST', address, '/v1/plan', headers, sheet)
    await caller.close()
    await fleet.wait_ready()


async def _measure_lookups(fleet: Fleet, requests: int) -> list[Figure]:
    target = fleet.layout.targets[0].node.address
    entry = fleet.layout.entries[0]
    path = '/v1/services/status-lookup/nets/1'
    direct_latencies_s = await _collect_latencies(
        fleet.caller(), target, '/nets/1', 400, 1
    )
    address = entry.callers.address
    single_latencies_s = await _collect_latencies(
        fleet.caller(), address, path, 400, 1
    )
    cpu_before_s = read_cpu_s(fleet.pid(entry.name))
    started_s = time.monotonic()
    concurrent_latencies_s = await _collect_latencies(
        fleet.caller(),
        address,
        path,
        requests,
        _CONCURRENT_CALLERS,
    )
    elapsed_s = time.monotonic() - started_s
    cpu_s = read_cpu_s(fleet.pid(entry.name)) - cpu_before_s
    added_s = statistics.median(single_latencies_s) - statistics.median(
        direct_latencies_s
    )
    resident = read_resident_mib(fleet.pid(entry.name))
    return [
        Figure('entry_added_p50', added_s * _MS_PER_S, 'ms'),
        Figure(
            'entry_lookups_wall', len(concurrent_latencies_s) / elapsed_s, '1/s'
        ),
        Figure(
            'entry_lookups_per_core',
            len(concurrent_latencies_s) / cpu_s,
            '1/s',
            at_least=700,
        ),
        Figure('entry_resident', resident, 'MiB'),
    ]


async def _measure_reports(fleet: Fleet, requests: int) -> list[Figure]:
    before = await read_transaction_count(fleet)
    caller = fleet.caller()
    remaining = iter(range(requests))
    latencies_s: list[float] = []

    async def send_remaining() -> None:
        for _ in remaining:
            started_s = time.monotonic()
            await caller.send_at_most_once('defect-report', b'x')
            latencies_s.append(time.monotonic() - started_s)

    async with anyio.create_task_group() as group:
        for _ in range(_CONCURRENT_CALLERS):
            group.start_soon(send_remaining)
    await anyio.sleep(1)
    after = await read_transaction_count(fleet)
    await caller.close()
    writes = (after - before) / requests
    p50_ms = statistics.median(latencies_s) * _MS_PER_S
    return [
        Figure('entry_table_writes_per_report', writes, '1', at_most=1),
        Figure('entry_reports_p50_at_20_callers', p50_ms, 'ms'),
    ]


async def _collect_latencies(
    caller: Caller,
    address: str,
    path: str,
    requests: int,
    callers: int,
) -> list[float]:
    remaining = iter(range(requests))
    latencies_s: list[float] = []

    async def send_remaining() -> None:
        for _ in remaining:
            started_s = time.monotonic()
            response = await caller.send('GET', address, path)
            if response.status == 200:
                latencies_s.append(time.monotonic() - started_s)

    async with anyio.create_task_group() as group:
        for _ in range(callers):
            group.start_soon(send_remaining)
    await caller.close()
    return latencies_s


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds, user and system."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


def read_resident_mib(pid: int) -> float:
    """Return the resident set size of a process in MiB."""
    status = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / _KIB
    return 0
