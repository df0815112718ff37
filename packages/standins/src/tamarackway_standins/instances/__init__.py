"""Fake of the platform's instance list, which lags behind changes."""

from tamarackway_standins.instances._app import (
    build_instances_app as build_instances_app,
)
