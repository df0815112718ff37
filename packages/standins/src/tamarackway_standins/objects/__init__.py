"""Fake of the platform's object store."""

from tamarackway_standins.objects._app import (
    build_objects_app as build_objects_app,
)
