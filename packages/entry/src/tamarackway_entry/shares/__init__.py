"""Leases on the shares of regional caps."""

from tamarackway_entry.shares._service import ShareService as ShareService
