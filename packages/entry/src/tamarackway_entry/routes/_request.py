"""A caller's request on its way to a target."""

from dataclasses import dataclass

from tamarackway_core.sheet import ServiceRule

from tamarackway_entry.decisions import Decision
from tamarackway_entry.http import HttpRequest


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller, checked and read whole.

    :param request_id: identifier that the target must echo.
    :param rule: what the sheet says of the service.
    :param caller_region: region of the caller.
    :param method: HTTP method.
    :param path: path with query, as the target should see it.
    :param headers: headers for the target by lower-case name.
    :param body: all bytes of the body.
    :param deadline_s: monotonic time by which the answer must be there.
    :param digest: SHA-256 of method, path and body.
    :param attempt: number that the caller gave to this sending, or None.
    :param decision: collects the steps for explanations.
    """

    request_id: str
    rule: ServiceRule
    caller_region: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline_s: float
    digest: str
    attempt: int | None
    decision: Decision

    def to_target(self, remaining_s: float) -> HttpRequest:
        """Return the request as it is sent to a target.

        :param remaining_s: time until the deadline in seconds.
        """
        headers = {
            **self.headers,
            'x-request-id': self.request_id,
            'x-request-deadline-ms': str(int(remaining_s * 1000)),
        }
        return HttpRequest(
            self.method,
            self.path,
            headers,
            self.body,
            remaining_s,
        )
