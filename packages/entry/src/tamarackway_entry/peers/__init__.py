"""Speaks to the other entry instances."""

from tamarackway_entry.links import PeerUnreachableError as PeerUnreachableError
from tamarackway_entry.peers._service import PeerService as PeerService
from tamarackway_entry.peers._service import SelfView as SelfView
