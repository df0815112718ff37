"""The HTTP server of the daemon."""

from tamarackway_entry.serving._caller import Caller as Caller
from tamarackway_entry.serving._caller import find_caller as find_caller
from tamarackway_entry.serving._server import HttpServer as HttpServer
