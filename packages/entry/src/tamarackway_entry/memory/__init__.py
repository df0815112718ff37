"""Memory that the messages of callers and targets may take."""

from tamarackway_entry.memory._budget import PROCESS_BUDGET as PROCESS_BUDGET
from tamarackway_entry.memory._budget import MemoryBudget as MemoryBudget
from tamarackway_entry.memory._budget import Reservation as Reservation
