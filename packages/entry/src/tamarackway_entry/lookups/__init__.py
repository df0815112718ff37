"""Idempotent requests, which may be hedged and retried."""

from tamarackway_entry.lookups._runner import LookupRunner as LookupRunner
