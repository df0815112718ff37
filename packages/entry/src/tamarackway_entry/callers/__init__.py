"""HTTP interface for callers."""

from tamarackway_entry.callers._advice import EntryDiscovery as EntryDiscovery
from tamarackway_entry.callers._app import CallerApp as CallerApp
from tamarackway_entry.callers._parse import RequestParser as RequestParser
from tamarackway_entry.callers._service import CallerService as CallerService
