"""Tests of tamarackway_core."""
