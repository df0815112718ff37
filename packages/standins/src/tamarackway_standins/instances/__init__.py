"""Stand-in for the platform's lagging list of instances."""

from tamarackway_standins.instances._app import (
    build_instances_app as build_instances_app,
)
