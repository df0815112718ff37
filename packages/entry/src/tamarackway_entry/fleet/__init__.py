"""Membership, heartbeats and relays among entry instances."""

from tamarackway_entry.fleet._directory import (
    select_instances as select_instances,
)
from tamarackway_entry.fleet._registry import FleetRegistry as FleetRegistry
from tamarackway_entry.fleet._service import FleetDelegate as FleetDelegate
from tamarackway_entry.fleet._service import FleetService as FleetService
