"""Records of routing decisions, for explanations of requests."""

from tamarackway_entry.decisions._log import Decision as Decision
from tamarackway_entry.decisions._log import DecisionLog as DecisionLog
