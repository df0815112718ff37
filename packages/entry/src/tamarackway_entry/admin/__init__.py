"""The administration API."""

from tamarackway_entry.admin._app import AdminDependencies as AdminDependencies
from tamarackway_entry.admin._app import build_admin_app as build_admin_app
from tamarackway_entry.admin._auth import hash_token as hash_token
from tamarackway_entry.admin._service import AdminService as AdminService
