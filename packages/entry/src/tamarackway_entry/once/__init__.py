"""Execution of requests with at-most-once semantics."""

from tamarackway_entry.once._batcher import ClaimBatcher as ClaimBatcher
from tamarackway_entry.once._claimer import Claimer as Claimer
from tamarackway_entry.once._joins import AttemptTracker as AttemptTracker
from tamarackway_entry.once._joins import JoinService as JoinService
from tamarackway_entry.once._recorder import OutcomeRecorder as OutcomeRecorder
from tamarackway_entry.once._runner import AtMostOnceRunner as AtMostOnceRunner
from tamarackway_entry.once._sweep import SweepService as SweepService
