"""Tests of numbers in the headers of callers."""

from collections.abc import MutableMapping
from typing import Any

import anyio
import pytest
from tamarackway_core.errors import Reason, Refusal

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


@pytest.mark.parametrize('text', [*ODD_NUMBERS, '11'])
def test_odd_length_is_refused(text: str) -> None:
    refusal = anyio.run(read_body, {'content-length': text}, receive, 10)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == Reason.BODY_TOO_LARGE


@pytest.mark.parametrize('headers', [{}, {'content-length': '10'}])
def test_body_within_the_limit_is_read(headers: dict[str, str]) -> None:
    assert anyio.run(read_body, headers, receive, 10) == b'x' * 10
