"""Domain model and pure decisions of tamarackway.

Nothing in this package performs input or output, reads a clock or owns a
source of random numbers: callers pass these in.
"""
