"""Failure detection, task assignment and ranking of entry instances."""

from tamarackway_core.membership._advice import (
    EntryAdvice as EntryAdvice,
)
from tamarackway_core.membership._advice import rank_entries as rank_entries
from tamarackway_core.membership._rendezvous import elect as elect
from tamarackway_core.membership._rendezvous import (
    rank_instances as rank_instances,
)
from tamarackway_core.membership._view import Member as Member
from tamarackway_core.membership._view import MembershipView as MembershipView
