"""Logs, metrics and traces."""

from tamarackway_entry.telemetry._logs import part_logger as part_logger
from tamarackway_entry.telemetry._logs import set_up_logs as set_up_logs
from tamarackway_entry.telemetry._metrics import Metrics as Metrics
from tamarackway_entry.telemetry._output import BoundedOutput as BoundedOutput
from tamarackway_entry.telemetry._tracing import Span as Span
from tamarackway_entry.telemetry._tracing import Tracing as Tracing
from tamarackway_entry.telemetry._tracing import (
    TracingService as TracingService,
)
