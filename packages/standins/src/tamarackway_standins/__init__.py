"""Fake platform services, targets and network links for tests.

Each fake runs as a separate process on loopback. Faults are injected over
HTTP at run time. The product does not import this package.
"""
