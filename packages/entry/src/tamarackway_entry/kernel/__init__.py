"""Registry of components by name, clocks and pause detection."""

from tamarackway_entry.kernel._clock import Clock as Clock
from tamarackway_entry.kernel._clock import SystemClock as SystemClock
from tamarackway_entry.kernel._kernel import Kernel as Kernel
from tamarackway_entry.kernel._kernel import Service as Service
from tamarackway_entry.kernel._pauses import PauseDetector as PauseDetector
