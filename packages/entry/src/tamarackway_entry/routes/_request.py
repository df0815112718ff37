"""A caller's request for a target."""

from dataclasses import dataclass

from tamarackway_core.sheet import ServiceRule

from tamarackway_entry.decisions import Decision
from tamarackway_entry.http import HttpRequest
from tamarackway_entry.serving import Caller


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete, validated request of a caller.

    :param request_id: identifier that the target must return in its response.
    :param rule: the service's rule in the sheet.
    :param caller_region: region of the caller.
    :param method: HTTP method.
    :param path: path with query, as sent to the target.
    :param headers: headers sent to the target, by lower-case name.
    :param body: all bytes of the body.
    :param deadline_s: monotonic time by which the response is due.
    :param digest: SHA-256 of method, path and body.
    :param attempt: attempt number set by the caller, or None.
    :param decision: record of routing decisions, for explanations.
    :param caller: its caller, which may leave.
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
    caller: Caller

    def to_target(self, remaining_s: float) -> HttpRequest:
        """Return the request to send to a target.

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
            # A request with a key goes on without its caller, which may come
            # back with the key.
            None if self.rule.once else self.caller.has_left,
        )
