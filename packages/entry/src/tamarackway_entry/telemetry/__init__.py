"""Logs, metrics and traces."""

from tamarackway_entry.telemetry._logs import (
    component_logger as component_logger,
)
from tamarackway_entry.telemetry._logs import (
    configure_logging as configure_logging,
)
from tamarackway_entry.telemetry._metrics import Metrics as Metrics
from tamarackway_entry.telemetry._output import (
    BoundedLogHandler as BoundedLogHandler,
)
from tamarackway_entry.telemetry._tracing import Span as Span
from tamarackway_entry.telemetry._tracing import (
    SpanExportService as SpanExportService,
)
from tamarackway_entry.telemetry._tracing import Tracing as Tracing
