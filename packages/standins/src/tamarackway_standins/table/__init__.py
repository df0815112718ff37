"""Fake of the platform's transactional table service."""

from tamarackway_standins.table._app import build_table_app as build_table_app
from tamarackway_standins.table._rows import Rows as Rows
