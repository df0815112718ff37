"""Errors of requests on a connection."""


class HttpError(OSError):
    """Base class for errors of requests on a connection."""


class NotSentError(HttpError):
    """No byte of the request was sent; check that the server is listening."""


class WithdrawnError(NotSentError):
    """The request was withdrawn before any byte was sent."""


class ConnectionLostError(HttpError):
    """The connection ended before the response; the request may have run."""


class TimedOutError(HttpError):
    """No complete response arrived in time; the request may have run."""


class InvalidResponseError(HttpError):
    """The response is malformed, does not end or is for another request."""


class ResponseTooLargeError(HttpError):
    """A valid response is too large, or memory is short; it may have run."""
