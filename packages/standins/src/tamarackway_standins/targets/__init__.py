"""Stand-in for a target: slots, work times and everything that can go wrong."""

from tamarackway_standins.targets._app import TargetApp as TargetApp
from tamarackway_standins.targets._model import TargetFaults as TargetFaults
from tamarackway_standins.targets._model import (
    TargetSettings as TargetSettings,
)
