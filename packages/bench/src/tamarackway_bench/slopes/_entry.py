"""Measures an idle entry instance at several fleet sizes."""

import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import anyio

from tamarackway_bench.figures import (
    read_cpu_s,
    read_resident_mib,
    submit_example,
)
from tamarackway_bench.fleet import Fleet, FleetSpec, ServiceSpec
from tamarackway_bench.slopes._fit import LinearFit, fit_line

_ENTRY_INSTANCES: Final = 6800
_FLEET_SIZES: Final = (3, 6, 12)
_MEASUREMENT_S: Final = 6.0
_SETTLE_S: Final = 4.0
_PERCENT: Final = 100


def measure_entry_slopes() -> Iterator[LinearFit]:
    """Yield CPU use and resident memory of an idle instance by fleet size."""
    costs = {
        size: anyio.run(_measure_idle_entry, size) for size in _FLEET_SIZES
    }
    yield fit_line(
        'control.cpu',
        'entry instance, idle',
        'percent of a core',
        _ENTRY_INSTANCES,
        _FLEET_SIZES,
        lambda size: costs[size][0],
    )
    yield fit_line(
        'control.resident',
        'entry instance, idle',
        'MiB',
        _ENTRY_INSTANCES,
        _FLEET_SIZES,
        lambda size: costs[size][1],
    )


async def _measure_idle_entry(entries: int) -> tuple[float, float]:
    spec = FleetSpec(
        sheet='skalni-sit.csv',
        regions=('Bohemia', 'Moravia', 'Silesia'),
        services=(
            ServiceSpec('status-lookup', 6, 3),
            ServiceSpec('defect-report', 3, 3),
            ServiceSpec('closure-order', 3, 3),
        ),
        entries=entries,
        domain_ms=0,
        region_ms=0,
        direct=True,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(spec, Path(folder)) as fleet:
            await submit_example(fleet)
            await anyio.sleep(_SETTLE_S)
            pid = fleet.pid(fleet.layout.entries[0].name)
            cpu_s = read_cpu_s(pid)
            await anyio.sleep(_MEASUREMENT_S)
            used_s = read_cpu_s(pid) - cpu_s
            percent = used_s / _MEASUREMENT_S * _PERCENT
            return percent, read_resident_mib(pid)
