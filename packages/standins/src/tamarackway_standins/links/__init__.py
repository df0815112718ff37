"""Simulated network links: delays, partitions and black-holed connections."""

from tamarackway_standins.links._app import run_links as run_links
from tamarackway_standins.links._relay import Relay as Relay
from tamarackway_standins.links._topology import Topology as Topology
