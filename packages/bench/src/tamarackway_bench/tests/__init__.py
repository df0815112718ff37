"""Scenario tests with real processes."""
