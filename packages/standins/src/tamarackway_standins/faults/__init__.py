"""Faults that can be switched on while a stand-in runs."""

from tamarackway_standins.faults._gate import FaultGate as FaultGate
from tamarackway_standins.faults._gate import StoreFaults as StoreFaults
