"""Tests of the daemon's parts."""
