"""The HTTP server of the daemon."""

from tamarackway_entry.serving._server import HttpServer as HttpServer
