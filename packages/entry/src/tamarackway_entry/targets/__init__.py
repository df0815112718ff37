"""Targets: their directory and state, and requests to them."""

from tamarackway_entry.targets._directory import (
    TargetDirectory as TargetDirectory,
)
from tamarackway_entry.targets._dispatch import Dispatcher as Dispatcher
from tamarackway_entry.targets._dispatch import ShedError as ShedError
from tamarackway_entry.targets._probes import ProbeService as ProbeService
