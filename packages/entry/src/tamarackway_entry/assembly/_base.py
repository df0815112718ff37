"""Builds telemetry and the clients of the platform."""

from typing import Final

from tamarackway_core.places import parse_address

from tamarackway_entry.decisions import DecisionLog
from tamarackway_entry.http import ConnectionPool, HttpRequest
from tamarackway_entry.kernel import Kernel, SystemClock
from tamarackway_entry.platform import (
    InventoryService,
    ObjectStore,
    TableService,
)
from tamarackway_entry.settings import Settings
from tamarackway_entry.telemetry import Metrics, SpanExportService, Tracing

_MAX_RESPONSE_BYTES: Final = 67_108_864
_COLLECTOR_TIMEOUT_S: Final = 2.0


class _CollectorClient:
    """Posts spans to an OTLP collector."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def post(self, path: str, body: bytes, content_type: str) -> int:
        headers = {'content-type': content_type}
        request = HttpRequest(
            'POST',
            path,
            headers,
            body,
            _COLLECTOR_TIMEOUT_S,
        )
        return (await self._pool.send(request)).status


def build_telemetry(kernel: Kernel) -> None:
    """Register the metrics, tracing and the decision log.

    :param kernel: the kernel.
    """
    settings = kernel.find('settings', Settings)
    telemetry = settings.telemetry
    tracing = Tracing(telemetry, settings.instance.name)
    sender = None
    if telemetry.otlp:
        sender = _CollectorClient(_build_pool(kernel, telemetry.otlp))
    kernel.register('metrics', Metrics())
    kernel.register('tracing', tracing)
    kernel.register('span-export', SpanExportService(tracing, sender))
    kernel.register('decisions', DecisionLog(telemetry.max_decisions))


def build_platform(kernel: Kernel) -> None:
    """Register the clients of the platform.

    :param kernel: the kernel.
    """
    platform = kernel.find('settings', Settings).platform
    clock = kernel.find('clock', SystemClock)
    metrics = kernel.find('metrics', Metrics)
    timeout_s = platform.timeout_s
    table = TableService(
        _build_pool(kernel, platform.table),
        timeout_s,
        clock,
        metrics,
    )
    objects = ObjectStore(_build_pool(kernel, platform.objects), timeout_s)
    inventory = InventoryService(
        _build_pool(kernel, platform.instances),
        timeout_s,
        clock,
        metrics,
    )
    kernel.register('table', table)
    kernel.register('objects', objects)
    kernel.register('inventory', inventory)


def _build_pool(kernel: Kernel, address: str) -> ConnectionPool:
    instance = kernel.find('settings', Settings).instance
    return ConnectionPool(
        parse_address(address),
        instance.outgoing_host,
        _MAX_RESPONSE_BYTES,
    )
