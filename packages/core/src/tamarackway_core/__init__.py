"""Domain model and decision logic of tamarackway.

This package performs no input or output. Times and random number generators
are passed in by the caller.
"""
