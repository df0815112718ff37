"""Latency of at-most-once requests at the delays of both fleets."""

import statistics
import tempfile
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Final

import anyio

from tamarackway_bench.figures._figure import Figure
from tamarackway_bench.fleet import (
    LEITURA,
    SKALNI,
    Fleet,
    FleetSpec,
    ServiceSpec,
    fetch,
)

_MS_PER_S: Final = 1000
_SETTLE_S: Final = 3.0
_WORK_S: Final = 0.001
_EXAMPLES: Final = Path(__file__).parents[5] / 'examples'


def measure_reports(*, quick: bool) -> Iterator[Figure]:
    """Yield the median report latency by region of the entry instance.

    :param quick: send fewer reports.
    """
    reports = 20 if quick else 100
    for name, spec in (('skalni', SKALNI), ('leitura', LEITURA)):
        yield from anyio.run(_measure, name, spec, reports)


async def _measure(name: str, spec: FleetSpec, reports: int) -> list[Figure]:
    reduced_spec = replace(
        spec,
        entries=3,
        services=tuple(
            ServiceSpec(service.name, 3, service.slots, _WORK_S)
            for service in spec.services
        ),
    )
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(reduced_spec, Path(folder)) as fleet:
            await _submit_sheet(fleet)
            await anyio.sleep(_SETTLE_S)
            return [
                Figure(
                    f'{name}_report_p50_{number}',
                    await _measure_median_ms(fleet, number, reports),
                    'ms',
                )
                for number in range(len(reduced_spec.regions))
            ]


async def _submit_sheet(fleet: Fleet) -> None:
    sheet = (_EXAMPLES / fleet.layout.spec.sheet).read_bytes()
    caller = fleet.caller()
    await caller.send(
        'POST',
        fleet.layout.entries[0].admin.address,
        '/v1/plan',
        {'authorization': f'Bearer {fleet.token}'},
        sheet,
    )
    await caller.close()
    await fleet.wait_ready()


async def _measure_median_ms(fleet: Fleet, number: int, reports: int) -> float:
    entry = fleet.layout.entries[number]
    service = fleet.layout.spec.services[1].name
    caller = fleet.caller()
    latencies_s: list[float] = []
    for _ in range(reports):
        started_s = time.monotonic()
        address = entry.callers.address
        await caller.send_at_most_once(service, b'x', address=address)
        latencies_s.append(time.monotonic() - started_s)
    await caller.close()
    return statistics.median(latencies_s) * _MS_PER_S


async def read_transaction_count(fleet: Fleet) -> int:
    """Return the number of transactions that the table has received."""
    address = fleet.layout.platform['table'].address
    counts = await fetch('GET', address, '/counts')
    writes: int = counts['writes']
    return writes
