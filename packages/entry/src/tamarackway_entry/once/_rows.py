"""Conversion of claim rows to and from JSON values of the table."""

import base64
from typing import Any, Final

import msgspec
from tamarackway_core.once import ClaimRow

KEY_PREFIX: Final = 'claims/'


def row_to_value(row: ClaimRow) -> Any:
    """Encode a claim row as a JSON value."""
    value = msgspec.to_builtins(row)
    value['body'] = base64.b64encode(row.body).decode()
    return value


def value_to_row(value: Any) -> ClaimRow:
    """Decode a claim row from a JSON value."""
    return msgspec.convert(value, ClaimRow)
