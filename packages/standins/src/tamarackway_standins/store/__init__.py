"""The platform's store by its published protocol: rows, feeds, objects."""

from tamarackway_standins.store._app import build_store_app as build_store_app
from tamarackway_standins.store._log import RowLog as RowLog
