"""Fake of the platform's store: rows, change feeds and blobs."""

from tamarackway_standins.store._app import build_store_app as build_store_app
from tamarackway_standins.store._row_store import RowStore as RowStore
