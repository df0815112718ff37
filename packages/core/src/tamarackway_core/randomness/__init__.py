"""What decisions need of a source of random numbers."""

from tamarackway_core.randomness._source import RandomSource as RandomSource
