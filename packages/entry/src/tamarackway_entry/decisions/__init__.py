"""Records of how requests were served, for explanations."""

from tamarackway_entry.decisions._log import Decision as Decision
from tamarackway_entry.decisions._log import DecisionLog as DecisionLog
