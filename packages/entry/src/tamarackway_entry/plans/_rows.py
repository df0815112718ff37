"""Rows and objects that plans are stored in."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec

POINTER_KEY: Final = 'plan/pointer'
HISTORY_PREFIX: Final = 'plan/history/'
_VERSION_DIGITS: Final = 10


@dataclass(frozen=True, slots=True)
class PlanPointer:
    """Value of the pointer row and of each history row.

    :param version: version of the plan.
    :param digest: SHA-256 of the sheet.
    :param author: operator who submitted it.
    :param accepted_at_s: seconds since the epoch at the accepting entry.
    :param token: unique to the submission.
    :param starts: shares by ``service/region`` from which it ramps.
    """

    version: int
    digest: str
    author: str
    accepted_at_s: float
    token: str
    starts: Mapping[str, float]


def history_key(version: int) -> str:
    """Return the key of a version's history row."""
    return f'{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}'


def object_key(digest: str) -> str:
    """Return the key of a sheet in the object store."""
    return f'plans/{digest}'


def parse_pointer(value: Any) -> PlanPointer | None:
    """Return the pointer in a row, or None if the row is absent."""
    if value is None:
        return None
    return msgspec.convert(value, PlanPointer)
