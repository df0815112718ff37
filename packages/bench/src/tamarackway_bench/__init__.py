"""Fleets of real processes, benchmarks, slopes and the demonstration."""
