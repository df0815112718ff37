"""Follows tables of the store, by turns, and shares what changed."""

from tamarackway_entry.following._service import FollowService as FollowService
from tamarackway_entry.following._service import RowSink as RowSink
