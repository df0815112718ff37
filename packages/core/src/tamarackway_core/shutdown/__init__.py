"""Times of a graceful shutdown."""

from tamarackway_core.shutdown._schedule import (
    ShutdownSchedule as ShutdownSchedule,
)
