"""Membership of entry instances and messages among them."""

from tamarackway_entry.links import PeerUnreachableError as PeerUnreachableError
from tamarackway_entry.peers._service import MemberSource as MemberSource
from tamarackway_entry.peers._service import PeerService as PeerService
