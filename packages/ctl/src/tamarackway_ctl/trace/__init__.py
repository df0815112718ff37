"""Searches collected logs for the lines that explain a request."""

from tamarackway_ctl.trace._trace import LogLine as LogLine
from tamarackway_ctl.trace._trace import (
    find_related_lines as find_related_lines,
)
from tamarackway_ctl.trace._trace import parse_lines as parse_lines
