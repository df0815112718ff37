"""Lifecycle of this instance and its graceful shutdown."""

from tamarackway_entry.lifecycle._lifecycle import Lifecycle as Lifecycle
from tamarackway_entry.lifecycle._shutdown import (
    ShutdownService as ShutdownService,
)
from tamarackway_entry.lifecycle._signals import (
    receive_signals as receive_signals,
)
