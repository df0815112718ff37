"""How the stand-ins listen for HTTP."""

from tamarackway_standins.serving._server import serve as serve
from tamarackway_standins.serving._server import split_address as split_address
