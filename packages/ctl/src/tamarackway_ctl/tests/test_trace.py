"""Selection of the log lines that explain a request."""

import json
from typing import Any

import pytest

from tamarackway_ctl.trace import find_related_lines, parse_lines


def format_line(second: int, instance: str, message: str, **fields: Any) -> str:
    stamp = f'2026-02-28 02:15:{second:02},000'
    line = {'asctime': stamp, 'message': message, 'instance': instance}
    return json.dumps({**line, **fields})


LOGS = [
    'front-1 starts up without JSON',
    format_line(
        1, 'a', 'platform: Configuration 4 with 21 routes, taken=True.'
    ),
    format_line(30, 'a', 'targets: Target i-1 is ejected for 0.5 s: refused.'),
    format_line(30, 'a', 'targets: Target i-2 is ejected for 0.5 s: refused.'),
    format_line(30, 'b', 'targets: Target i-1 is ejected for 0.5 s: refused.'),
    '  1.5 a '
    + format_line(
        29, 'a', 'follow: Cannot read table op from the store: refused.'
    ),
    format_line(
        31, 'a', 'request: Request ended.', request_id='r2', trail=['i-1']
    ),
    format_line(
        32,
        'a',
        'request: Request ended.',
        request_id='r1',
        trail=['i-1 in east not-sent'],
    ),
    '{"asctime": 3}',
]


def test_related_lines_include_context_of_the_same_instance() -> None:
    related = find_related_lines(list(parse_lines(LOGS)), 'r1')
    assert [line.message for line in related] == [
        'follow: Cannot read table op from the store: refused.',
        'targets: Target i-1 is ejected for 0.5 s: refused.',
        'request: Request ended.',
    ]
    assert {line.instance for line in related} == {'a'}
    assert 'request_id=r1' in related[-1].describe()


@pytest.mark.parametrize('request_id', ['unknown', ''])
def test_unknown_request_has_no_related_lines(request_id: str) -> None:
    assert find_related_lines(list(parse_lines(LOGS)), request_id) == []
