"""HTTP connections to targets and to the platform, and the HTTP server."""

from tamarackway_entry.http._pool import ConnectionPool as ConnectionPool
from tamarackway_entry.http._pool import HttpRequest as HttpRequest
from tamarackway_entry.http._pool import HttpResponse as HttpResponse
from tamarackway_entry.serving import HttpServer as HttpServer
from tamarackway_entry.upstream import (
    ConnectionLostError as ConnectionLostError,
)
from tamarackway_entry.upstream import HttpError as HttpError
from tamarackway_entry.upstream import (
    InvalidResponseError as InvalidResponseError,
)
from tamarackway_entry.upstream import NotSentError as NotSentError
from tamarackway_entry.upstream import (
    ResponseTooLargeError as ResponseTooLargeError,
)
from tamarackway_entry.upstream import TimedOutError as TimedOutError
from tamarackway_entry.upstream import WithdrawnError as WithdrawnError
