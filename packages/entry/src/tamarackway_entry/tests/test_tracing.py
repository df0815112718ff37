"""Tests of spans and their export."""

import pytest
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from tamarackway_entry.settings import TelemetrySettings
from tamarackway_entry.telemetry import SpanExportService, Tracing

pytestmark = pytest.mark.anyio
TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
PARENT = {'traceparent': f'00-{TRACE_ID}-b7ad6b7169203331-01'}


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


class Collector:
    """Records the bodies sent to it."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    async def post(self, path: str, body: bytes, content_type: str) -> int:
        assert (path, content_type) == ('/v1/traces', 'application/x-protobuf')
        self.bodies.append(body)
        return 200


async def test_spans_of_both_hops_join_the_callers_trace() -> None:
    tracing = Tracing(TelemetrySettings(otlp='127.0.0.1:4318'), 'north-1')
    headers = dict(PARENT)
    with tracing.start('entry', headers) as entry:
        entry.set_attribute('service', 'status')
        with tracing.start('target', {}):
            tracing.inject(headers)
    assert TRACE_ID in headers['traceparent']
    assert headers != PARENT
    collector = Collector()
    await SpanExportService(tracing, collector).flush(collector)
    request = trace_service_pb2.ExportTraceServiceRequest()
    request.ParseFromString(collector.bodies[0])
    spans = request.resource_spans[0].scope_spans[0].spans
    assert {span.name for span in spans} == {'entry', 'target'}
    assert {span.trace_id.hex() for span in spans} == {TRACE_ID}


def test_without_a_collector_the_context_passes_unchanged() -> None:
    tracing = Tracing(TelemetrySettings(), 'north-1')
    headers = dict(PARENT)
    with tracing.start('entry', headers):
        tracing.inject(headers)
    assert headers == PARENT
