"""Interface of random number generators."""

from tamarackway_core.randomness._source import RandomSource as RandomSource
