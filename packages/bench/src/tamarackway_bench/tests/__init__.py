"""Scenarios through real processes."""
