"""Injection of faults into a running fake."""

from tamarackway_standins.faults._middleware import (
    FaultInjectionMiddleware as FaultInjectionMiddleware,
)
from tamarackway_standins.faults._middleware import StoreFaults as StoreFaults
