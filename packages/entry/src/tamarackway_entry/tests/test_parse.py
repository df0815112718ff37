"""Tests of what callers and operators send."""

from collections.abc import MutableMapping
from typing import Any

import anyio
import pytest
from starlette.requests import Request
from starlette.responses import Response
from tamarackway_core.errors import Reason, Refusal

from tamarackway_entry.admin import _app as admin_module
from tamarackway_entry.admin._app import _read_sheet
from tamarackway_entry.callers._parse import parse_attempt, read_body

ODD_NUMBERS = ['', '-1', '+1', '1.5', 'x', '9' * 5000, '\N{SUPERSCRIPT TWO}']


@pytest.mark.parametrize(
    ('text', 'attempt'), [(None, None), ('1', 1), ('1000000', 1_000_000)]
)
def test_attempt_is_parsed(text: str | None, attempt: int | None) -> None:
    headers = {} if text is None else {'x-request-attempt': text}
    assert parse_attempt(headers) == attempt


# Guards against a number in a header that makes its request fail.
@pytest.mark.parametrize('text', [*ODD_NUMBERS, '0', '1000001'])
def test_odd_attempt_is_refused(text: str) -> None:
    refusal = parse_attempt({'x-request-attempt': text})
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.MALFORMED


async def receive() -> MutableMapping[str, Any]:
    await anyio.sleep(0)
    return {'type': 'http.request', 'body': b'x' * 10}


async def receive_nothing() -> MutableMapping[str, Any]:
    await anyio.sleep_forever()
    raise AssertionError


@pytest.mark.parametrize('text', [*ODD_NUMBERS, '11'])
def test_odd_length_is_refused(text: str) -> None:
    refusal = anyio.run(read_body, {'content-length': text}, receive, 10, 1)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.BODY_TOO_LARGE


@pytest.mark.parametrize('headers', [{}, {'content-length': '10'}])
def test_body_within_the_limit_is_read(headers: dict[str, str]) -> None:
    assert anyio.run(read_body, headers, receive, 10, -1) == b'x' * 10


# Guards against requests that are in progress for ever, also during a shutdown,
# since their caller sends only a part of the body.
def test_body_that_stalls_is_refused() -> None:
    parts = [{'type': 'http.request', 'body': b'x', 'more_body': True}]

    async def receive_once() -> MutableMapping[str, Any]:
        if not parts:
            await anyio.sleep_forever()
        return parts.pop()

    async def read() -> bytes | Refusal:
        with anyio.fail_after(5):
            return await read_body({}, receive_once, 10, 0.05)

    refusal = anyio.run(read)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.DEADLINE


# Guards against the same at the administration address.
def test_sheet_that_stalls_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, '_SHEET_TIMEOUT_S', 0.05)

    async def read() -> str | Response:
        request = Request({'type': 'http'}, receive_nothing)
        with anyio.fail_after(5):
            return await _read_sheet(request)

    response = anyio.run(read)
    assert isinstance(response, Response)
    assert response.status_code == 408
