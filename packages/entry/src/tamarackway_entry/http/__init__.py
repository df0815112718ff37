"""HTTP connections to targets and to the platform, and the HTTP server."""

from tamarackway_entry.http._errors import (
    BadAnswerError as BadAnswerError,
)
from tamarackway_entry.http._errors import HttpError as HttpError
from tamarackway_entry.http._errors import LostError as LostError
from tamarackway_entry.http._errors import NotSentError as NotSentError
from tamarackway_entry.http._errors import TimedOutError as TimedOutError
from tamarackway_entry.http._pool import ConnectionPool as ConnectionPool
from tamarackway_entry.http._pool import HttpAnswer as HttpAnswer
from tamarackway_entry.http._pool import HttpRequest as HttpRequest
from tamarackway_entry.http._server import HttpServer as HttpServer
