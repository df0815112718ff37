"""Fleets of real processes, benchmarks, cost models and a demonstration."""
