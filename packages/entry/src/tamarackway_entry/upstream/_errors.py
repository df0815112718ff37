"""How a request on a connection can fail."""


class HttpError(OSError):
    """Root of the failures of a request on a connection."""


class NotSentError(HttpError):
    """No byte of the request was sent; check that the server listens."""


class ConnectionLostError(HttpError):
    """The connection ended before the answer did; the request may have run."""


class TimedOutError(HttpError):
    """No whole answer came in time; the request may have run."""


class InvalidResponseError(HttpError):
    """The answer is broken, oversized or another request's; do not use it."""
