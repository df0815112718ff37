"""The HTTP server of the daemon."""

from tamarackway_entry.serving._admission import AdmissionGate as AdmissionGate
from tamarackway_entry.serving._caller import Caller as Caller
from tamarackway_entry.serving._caller import find_caller as find_caller
from tamarackway_entry.serving._caller import find_read_s as find_read_s
from tamarackway_entry.serving._server import HttpServer as HttpServer
