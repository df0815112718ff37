"""Replicates tables of the store, polled by one elected instance."""

from tamarackway_entry.following._service import FollowService as FollowService
from tamarackway_entry.following._service import PollReason as PollReason
from tamarackway_entry.following._service import RowSink as RowSink
