"""Fake target with slots, random service times and injected faults."""

from tamarackway_standins.targets._app import TargetApp as TargetApp
from tamarackway_standins.targets._model import TargetFaults as TargetFaults
from tamarackway_standins.targets._model import (
    TargetSettings as TargetSettings,
)
