"""Tests of the parsers for numbers in texts."""

import math

import pytest
from hypothesis import given, settings, strategies

from tamarackway_core.numbers import (
    MAX_RATE_PER_S,
    parse_decimal,
    parse_integer,
)
from tamarackway_core.tests.fuzzing import FUZZING

ODD_TEXTS = [
    '',
    ' ',
    'x',
    '-1',
    '+1',
    '1_0',
    '0x1',
    'nan',
    'inf',
    '1 2',
    '9' * 5000,
    '\N{SUPERSCRIPT TWO}',
    '\N{ARABIC-INDIC DIGIT TWO}',
    '1\n2',
]


@pytest.mark.parametrize(
    ('text', 'number'),
    [('0', 0), ('7', 7), (' 7 ', 7), (b'7', 7), ('007', 7), ('100', 100)],
)
def test_numbers_within_bounds_are_parsed(
    text: str | bytes, number: int
) -> None:
    assert parse_integer(text, maximum=100) == number
    assert parse_decimal(text, maximum=100) == number


@pytest.mark.parametrize('text', [*ODD_TEXTS, '101', '1.5', '1e1'])
def test_text_that_is_no_integer_is_malformed(text: str) -> None:
    assert parse_integer(text, maximum=100) is None
    assert parse_integer(text.encode(), maximum=100) is None


@pytest.mark.parametrize('text', [*ODD_TEXTS, '101', '.5', '1.', '1e999', 'e1'])
def test_text_that_is_no_decimal_is_malformed(text: str) -> None:
    assert parse_decimal(text, maximum=100) is None
    assert parse_decimal(text.encode(), maximum=100) is None


@settings(FUZZING, max_examples=500)
@given(strategies.text(max_size=40) | strategies.from_regex(r'\d+(\.\d+)?e?-?'))
def test_any_text_is_malformed_or_within_bounds(text: str) -> None:
    integer = parse_integer(text, maximum=10**6)
    assert integer is None or 0 <= integer <= 10**6
    decimal = parse_decimal(text, maximum=MAX_RATE_PER_S)
    assert decimal is None or 0 <= decimal <= MAX_RATE_PER_S
    assert decimal is None or math.isfinite(decimal)
