"""Answers to callers."""

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
_STATUSES: Final = MappingProxyType({
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
    :param result: how the request ended.
    :param request_id: identifier for ``tamarackctl explain``.
    :param close: tell the caller to close the connection.
    """
    headers: _Headers = [
        (b'x-tamarackway-request-id', request_id.encode()),
        (b'x-tamarackway-outcome', result.outcome.encode()),
    ]
    if close:
        headers.append((b'connection', b'close'))
    if result.answer is not None:
        answer = result.answer
        content_type = answer.content_type.encode('latin-1')
        headers.append((b'content-type', content_type))
        await send_whole(send, answer.status, headers, answer.body)
        return
    refusal = result.refusal or Refusal(Reason.MALFORMED)
    if refusal.retry_after_s:
        seconds = str(max(int(refusal.retry_after_s), 1))
        headers.append((b'retry-after', seconds.encode()))
    status = _STATUSES.get(refusal.reason, _UNAVAILABLE)
    body = describe_refusal(refusal, result.outcome)
    headers.append((b'content-type', b'application/json'))
    await send_whole(send, status, headers, body)


def describe_refusal(refusal: Refusal, outcome: Outcome) -> bytes:
    """Return the JSON body that tells of a refusal."""
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
    """Send a JSON document.

    :param send: ASGI function.
    :param status: HTTP status.
    :param document: what to send.
    :param headers: further headers.
    """
    body = json.dumps(document).encode()
    all_headers = [(b'content-type', b'application/json'), *(headers or [])]
    await send_whole(send, status, all_headers, body)


async def send_whole(
    send: Send,
    status: int,
    headers: _Headers,
    body: bytes,
) -> None:
    """Send a whole answer with its length.

    :param send: ASGI function.
    :param status: HTTP status.
    :param headers: headers without the length.
    :param body: all bytes of the body.
    """
    length = (b'content-length', str(len(body)).encode())
    await send({
        'type': 'http.response.start',
        'status': status,
        'headers': [*headers, length],
    })
    await send({'type': 'http.response.body', 'body': body})
