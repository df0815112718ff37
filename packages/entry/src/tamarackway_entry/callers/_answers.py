"""HTTP responses to callers."""

import json
from collections.abc import Awaitable, Callable, MutableMapping
from types import MappingProxyType
from typing import Any, Final

from tamarackway_core.errors import Reason, Refusal
from tamarackway_core.once import Outcome, RunResult

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
_Headers = list[tuple[bytes, bytes]]

_UNAVAILABLE: Final = 503
_STATUS_BY_REASON: Final = MappingProxyType({
    Reason.UNKNOWN_SERVICE: 404,
    Reason.KEY_MISSING: 400,
    Reason.KEY_INVALID: 400,
    Reason.KEY_EXPIRED: 410,
    Reason.KEY_REUSED: 409,
    Reason.SETTLED: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.MALFORMED: 400,
    Reason.QUARANTINED: 422,
    Reason.DEADLINE: 504,
    Reason.TARGET_LOST: 502,
    Reason.CLAIMANT_LOST: 502,
    Reason.QUEUE_FULL: 503,
    Reason.REGION_CAP: 503,
})


async def send_result(
    send: Send,
    result: RunResult,
    request_id: str,
    *,
    close: bool,
) -> None:
    """Send the result of a request.

    :param send: ASGI function.
    :param result: result of the request.
    :param request_id: identifier for ``tamarackctl explain``.
    :param close: whether to ask the caller to close the connection.
    """
    headers: _Headers = [
        (b'x-tamarackway-request-id', request_id.encode()),
        (b'x-tamarackway-outcome', result.outcome.encode()),
    ]
    if close:
        headers.append((b'connection', b'close'))
    if result.answer is not None:
        response = result.answer
        content_type = response.content_type.encode('latin-1')
        headers.append((b'content-type', content_type))
        await send_response(send, response.status, headers, response.body)
        return
    refusal = result.refusal or Refusal(Reason.MALFORMED)
    if refusal.retry_after_s:
        seconds = str(max(int(refusal.retry_after_s), 1))
        headers.append((b'retry-after', seconds.encode()))
    status = _STATUS_BY_REASON.get(refusal.reason, _UNAVAILABLE)
    body = encode_refusal(refusal, result.outcome)
    headers.append((b'content-type', b'application/json'))
    await send_response(send, status, headers, body)


def encode_refusal(refusal: Refusal, outcome: Outcome) -> bytes:
    """Return the JSON body that describes a refusal."""
    return json.dumps({
        'error': refusal.reason,
        'detail': refusal.detail,
        'remedy': refusal.remedy,
        'outcome': outcome,
        'retry_after_s': refusal.retry_after_s,
    }).encode()


async def send_json(
    send: Send,
    status: int,
    document: Any,
    headers: _Headers | None = None,
) -> None:
    """Send a JSON response.

    :param send: ASGI function.
    :param status: HTTP status.
    :param document: JSON-compatible body.
    :param headers: additional headers.
    """
    body = json.dumps(document).encode()
    all_headers = [(b'content-type', b'application/json'), *(headers or [])]
    await send_response(send, status, all_headers, body)


async def send_response(
    send: Send,
    status: int,
    headers: _Headers,
    body: bytes,
) -> None:
    """Send a complete response with its content length.

    :param send: ASGI function.
    :param status: HTTP status.
    :param headers: headers without ``content-length``.
    :param body: complete body.
    """
    length = (b'content-length', str(len(body)).encode())
    await send({
        'type': 'http.response.start',
        'status': status,
        'headers': [*headers, length],
    })
    await send({'type': 'http.response.body', 'body': body})
