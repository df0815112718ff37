"""Authenticated connections between entry instances."""

from tamarackway_entry.links._heartbeats import (
    send_heartbeats as send_heartbeats,
)
from tamarackway_entry.links._link import PeerLink as PeerLink
from tamarackway_entry.links._link import (
    PeerUnreachableError as PeerUnreachableError,
)
from tamarackway_entry.links._server import PeerServer as PeerServer
