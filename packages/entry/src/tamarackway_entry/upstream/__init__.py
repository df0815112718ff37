"""HTTP/1.1 connections to targets and to the platform's store."""

from tamarackway_entry.upstream._connection import Connection as Connection
from tamarackway_entry.upstream._connection import connect as connect
from tamarackway_entry.upstream._errors import (
    ConnectionLostError as ConnectionLostError,
)
from tamarackway_entry.upstream._errors import HttpError as HttpError
from tamarackway_entry.upstream._errors import (
    InvalidResponseError as InvalidResponseError,
)
from tamarackway_entry.upstream._errors import NotSentError as NotSentError
from tamarackway_entry.upstream._errors import (
    ResponseTooLargeError as ResponseTooLargeError,
)
from tamarackway_entry.upstream._errors import TimedOutError as TimedOutError
from tamarackway_entry.upstream._errors import WithdrawnError as WithdrawnError
from tamarackway_entry.upstream._pool import (
    IdleConnectionPool as IdleConnectionPool,
)
from tamarackway_entry.upstream._reader import Response as Response
