"""HTTP server of the fakes."""

from tamarackway_standins.serving._server import serve as serve
from tamarackway_standins.serving._server import split_address as split_address
