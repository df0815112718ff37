"""Spans for each hop of a request, exported over OTLP/HTTP."""

from collections import deque
from collections.abc import Mapping
from contextlib import AbstractContextManager, nullcontext
from typing import Any, Final, Protocol

import anyio

from tamarackway_entry.settings import TelemetrySettings
from tamarackway_entry.telemetry._logs import component_logger

_EXPORT_INTERVAL_S: Final = 1.0
_MAX_SPANS: Final = 2048
_TRACEPARENT: Final = 'traceparent'
_log = component_logger('traces')


class Span(Protocol):
    """Interface of a span."""

    def set_attribute(self, key: str, value: Any) -> None:
        """Set an attribute of the span."""


class SpanSender(Protocol):
    """Connection to an OTLP/HTTP collector."""

    async def post(self, path: str, body: bytes, content_type: str) -> int:
        """Post a body and return the HTTP status of the response."""


class _NoOpSpan:
    """Span used while tracing is disabled."""

    def set_attribute(self, key: str, value: Any) -> None:
        """Ignore the attribute."""


class Tracing:
    """Starts spans and propagates the trace context.

    :param settings: sampling fraction and address of the collector.
    :param instance: name of the instance.

    Without a collector, tracing is disabled: OpenTelemetry is not imported,
    and the caller's trace context reaches the target unchanged.
    """

    def __init__(self, settings: TelemetrySettings, instance: str) -> None:
        """Build the tracer if a collector is configured."""
        self.ended: deque[Any] = deque(maxlen=_MAX_SPANS)
        self._tracer: Any = None
        if settings.otlp:
            self._tracer = _build_tracer(self.ended, settings, instance)

    def start(
        self,
        name: str,
        carrier: Mapping[str, str],
    ) -> AbstractContextManager[Span]:
        """Return a context manager that starts and ends a span.

        :param name: name of the hop.
        :param carrier: headers that may hold the trace context.
        """
        if self._tracer is None:
            return nullcontext(_NoOpSpan())
        from opentelemetry import propagate  # ruff: ignore[import-outside-top-level]

        context = None
        if _TRACEPARENT in carrier:
            context = propagate.extract(carrier)
        span: AbstractContextManager[Span] = self._tracer.start_as_current_span(
            name, context=context
        )
        return span

    def inject(self, carrier: dict[str, str]) -> None:
        """Write the context of the current span to headers.

        :param carrier: headers of the request to the next hop.
        """
        if self._tracer is not None:
            from opentelemetry import propagate  # ruff: ignore[import-outside-top-level]

            propagate.inject(carrier)


class SpanExportService:
    """Exports ended spans to the collector.

    :param tracing: source of the ended spans.
    :param sender: connection to the collector, or None without one.
    """

    def __init__(self, tracing: Tracing, sender: SpanSender | None) -> None:
        """Store the source and the destination of spans."""
        self._tracing = tracing
        self._sender = sender

    async def run(self) -> None:
        """Export batches of spans until cancelled."""
        while self._sender is not None:
            await anyio.sleep(_EXPORT_INTERVAL_S)
            await self.flush(self._sender)

    async def flush(self, sender: SpanSender) -> None:
        """Export the spans that have ended.

        :param sender: connection to the collector.
        """
        spans = list(self._tracing.ended)
        self._tracing.ended.clear()
        if not spans:
            return
        from opentelemetry.exporter.otlp.proto.common import (  # ruff: ignore[import-outside-top-level]
            trace_encoder,
        )

        body = trace_encoder.encode_spans(spans).SerializeToString()
        try:
            await sender.post('/v1/traces', body, 'application/x-protobuf')
        except OSError as error:
            _log.warning('Could not export %d spans: %s', len(spans), error)


def _build_tracer(
    ended: deque[Any],
    settings: TelemetrySettings,
    instance: str,
) -> Any:
    from opentelemetry.sdk import resources, trace  # ruff: ignore[import-outside-top-level]

    class SpanCollector(trace.SpanProcessor):
        """Queues ended spans for the export service."""

        def on_end(self, span: Any) -> None:
            """Queue an ended span."""
            ended.append(span)

    provider = trace.TracerProvider(
        sampler=trace.sampling.ParentBased(
            trace.sampling.TraceIdRatioBased(settings.trace_share),
        ),
        resource=resources.Resource.create({
            'service.name': 'tamarackd',
            'service.instance.id': instance,
        }),
    )
    provider.add_span_processor(SpanCollector())
    return provider.get_tracer('tamarackd')
