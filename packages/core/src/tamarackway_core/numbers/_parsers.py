"""Parsers for numbers in texts, such as header fields and addresses."""

import re
from typing import Final

_MAX_DIGITS: Final = 19  # of a 64-bit integer
# Common formatters write small and large numbers with an exponent.
_DECIMAL: Final = re.compile(rb'\d+(?:\.\d+)?(?:e[+-]?\d{1,3})?')


def parse_integer(text: bytes | str, maximum: int) -> int | None:
    """Return a decimal integer, or None if the text is none.

    :param text: ASCII digits, between optional white space.
    :param maximum: largest integer; larger ones count as malformed.

    >>> parse_integer(b' 42', maximum=100)
    42
    >>> parse_integer('²', maximum=100) is None
    True
    """
    digits = _to_ascii(text)
    # Unlike those of texts, the digits of bytes are ASCII digits only.
    if not digits.isdigit() or len(digits) > _MAX_DIGITS:
        return None
    integer = int(digits)
    return integer if integer <= maximum else None


def parse_decimal(text: bytes | str, maximum: float) -> float | None:
    """Return a decimal number, or None if the text is none.

    :param text: ASCII digits with an optional fraction and exponent, between
        optional white space.
    :param maximum: largest number; larger ones count as malformed.

    >>> parse_decimal(b'2.5', maximum=10)
    2.5
    >>> parse_decimal(b'5e-05', maximum=10)
    5e-05
    >>> parse_decimal('nan', maximum=10) is None
    True
    """
    digits = _to_ascii(text)
    if not _DECIMAL.fullmatch(digits):
        return None
    number = float(digits)
    return number if number <= maximum else None


def _to_ascii(text: bytes | str) -> bytes:
    """Return the stripped text; other characters become question marks."""
    encoded = (
        text if isinstance(text, bytes) else text.encode('ascii', 'replace')
    )
    return encoded.strip()
