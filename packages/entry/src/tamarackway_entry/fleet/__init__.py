"""Membership, heartbeats and relays among entry instances."""

from tamarackway_entry.fleet._directory import list_entries as list_entries
from tamarackway_entry.fleet._registry import FleetRegistry as FleetRegistry
from tamarackway_entry.fleet._service import FleetDelegate as FleetDelegate
from tamarackway_entry.fleet._service import FleetService as FleetService
