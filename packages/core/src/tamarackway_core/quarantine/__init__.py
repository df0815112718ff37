"""Quarantine of requests that crash targets."""

from tamarackway_core.quarantine._model import KnownLoss as KnownLoss
from tamarackway_core.quarantine._model import Loss as Loss
from tamarackway_core.quarantine._registry import (
    QuarantineRegistry as QuarantineRegistry,
)
