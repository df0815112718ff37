"""Quarantine of requests that crash targets."""

from tamarackway_core.quarantine._register import Loss as Loss
from tamarackway_core.quarantine._register import (
    QuarantineRegistry as QuarantineRegistry,
)
