"""Parsing and validation of callers' requests."""

import uuid
from typing import Final

import anyio
from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.numbers import parse_integer
from tamarackway_core.once import digest_request
from tamarackway_core.sheet import PlanRules, ServiceRule

from tamarackway_entry.callers._answers import Message, Receive
from tamarackway_entry.decisions import Decision
from tamarackway_entry.kernel import Clock
from tamarackway_entry.plans import CurrentPlan
from tamarackway_entry.routes import CallerRequest
from tamarackway_entry.serving import Caller, find_caller
from tamarackway_entry.settings import InstanceSettings

SERVICES_PREFIX: Final = '/v1/services/'
ATTEMPT_HEADER: Final = 'x-request-attempt'
_MAX_ATTEMPT: Final = 1_000_000
_DEADLINE_HEADER: Final = 'x-request-deadline-ms'
_REGION_HEADER: Final = 'x-tamarackway-region'
_MAX_TIMEOUT_MS: Final = 1_000_000_000_000
_MS_PER_S: Final = 1000
_MAX_NAME_LENGTH: Final = 64
# A body that has arrived is read whatever the deadline of its request.
_MIN_BODY_TIMEOUT_S: Final = 0.1
_STRIPPED_HEADERS: Final = frozenset((
    'host',
    'connection',
    'keep-alive',
    'proxy-authorization',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    'content-length',
    'expect',
    'x-request-id',
    _DEADLINE_HEADER,
))
Headers = dict[str, str]


class RequestParser:
    """Builds validated requests from ASGI messages.

    :param instance: settings of this instance.
    :param current: the plan in force.
    :param max_body_bytes: maximum size of a request body.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        instance: InstanceSettings,
        current: CurrentPlan,
        max_body_bytes: int,
        clock: Clock,
    ) -> None:
        """Store the dependencies and limits."""
        self._instance = instance
        self._current = current
        self._max_body_bytes = max_body_bytes
        self._clock = clock

    async def parse(
        self,
        scope: Message,
        receive: Receive,
    ) -> CallerRequest | Refusal:
        """Return the request, or a refusal if it is invalid.

        :param scope: ASGI scope of the request.
        :param receive: ASGI function.
        """
        rules = self._current.rules
        if rules is None:
            return Refusal(Reason.NO_PLAN, 'no plan is in force yet', 1)
        service, _, path = scope['path'][len(SERVICES_PREFIX) :].partition('/')
        rule = rules.find_service(service)
        if rule is None:
            return _unknown_service(service, rules)
        headers = read_headers(scope)
        deadline_s = self._parse_deadline_s(headers, rule)
        if isinstance(deadline_s, Refusal):
            return deadline_s
        attempt = parse_attempt(headers)
        if isinstance(attempt, Refusal):
            return attempt
        body = await read_body(
            headers,
            receive,
            self._max_body_bytes,
            deadline_s - self._clock.now_s(),
        )
        if isinstance(body, Refusal):
            return body
        query = scope['query_string'].decode('latin-1')
        target_path = f'/{path}?{query}' if query else f'/{path}'
        return self._build(
            scope['method'],
            target_path,
            headers,
            body,
            rule,
            deadline_s,
            attempt,
            find_caller(scope),
        )

    def _build(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        rule: ServiceRule,
        deadline_s: float,
        attempt: int | None,
        caller: Caller,
    ) -> CallerRequest:
        request_id = f'{self._instance.name}-{uuid.uuid4()}'
        home = _read_region(headers)
        decision = Decision(
            request_id,
            rule.service,
            home or self._instance.region,
            self._current.version,
            self._clock.time_s(),
            self._clock.now_s(),
        )
        decision.add_row(rule.row)
        return CallerRequest(
            request_id=request_id,
            rule=rule,
            caller_region=home or self._instance.region,
            method=method,
            path=path,
            headers={
                name: text
                for name, text in headers.items()
                if name not in _STRIPPED_HEADERS
            },
            body=body,
            deadline_s=deadline_s,
            digest=digest_request(method, f'{rule.service}{path}', body),
            attempt=attempt,
            decision=decision,
            caller=caller,
        )

    def _parse_deadline_s(
        self,
        headers: Headers,
        rule: ServiceRule,
    ) -> float | Refusal:
        text = headers.get(_DEADLINE_HEADER)
        allowed_s = rule.deadline_s
        if text is not None:
            timeout_ms = parse_integer(text, maximum=_MAX_TIMEOUT_MS)
            if not timeout_ms:
                problem = f'{_DEADLINE_HEADER} must be a positive integer'
                return Refusal(Reason.MALFORMED, problem)
            allowed_s = min(allowed_s, timeout_ms / _MS_PER_S)
        return self._clock.now_s() + allowed_s


def parse_attempt(headers: Headers) -> int | Refusal | None:
    """Return the attempt number, or None if the caller sends none.

    :param headers: headers by lower-case name.
    """
    text = headers.get(ATTEMPT_HEADER)
    if text is None:
        return None
    attempt = parse_integer(text, maximum=_MAX_ATTEMPT)
    if not attempt:
        problem = f'{ATTEMPT_HEADER} must be a positive integer'
        return Refusal(Reason.MALFORMED, problem)
    return attempt


async def read_body(
    headers: Headers,
    receive: Receive,
    max_bytes: int,
    timeout_s: float,
) -> bytes | Refusal:
    """Read the complete body of a request, or return a refusal.

    :param headers: headers by lower-case name.
    :param receive: ASGI function.
    :param max_bytes: maximum size of the body.
    :param timeout_s: longest time until the end of the body in seconds.
    """
    too_large = Refusal(
        Reason.BODY_TOO_LARGE,
        f'the body is larger than {max_bytes} bytes',
    )
    declared = headers.get('content-length', '0')
    if parse_integer(declared, maximum=max_bytes) is None:
        return too_large
    body = bytearray()
    has_more = True
    with anyio.move_on_after(max(timeout_s, _MIN_BODY_TIMEOUT_S)):
        while has_more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return Refusal(
                    Reason.MALFORMED,
                    'the connection was closed before the end of the body',
                )
            body += message.get('body', b'')
            if len(body) > max_bytes:
                return too_large
            has_more = message.get('more_body', False)
        return bytes(body)
    return Refusal(Reason.DEADLINE, 'the body did not arrive in time')


def read_headers(scope: Message) -> Headers:
    """Return the headers of a request by lower-case name."""
    return {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in scope['headers']
    }


def _read_region(headers: Headers) -> str:
    text = headers.get(_REGION_HEADER, '').encode('latin-1')
    return text.decode(errors='replace')[:_MAX_NAME_LENGTH]


def _unknown_service(service: str, rules: PlanRules) -> Refusal:
    shown = service[:_MAX_NAME_LENGTH]
    declared = ', '.join(rules.services)
    return Refusal(
        Reason.UNKNOWN_SERVICE,
        f'service {shown!r} is not in the plan; it declares {declared}',
    )
