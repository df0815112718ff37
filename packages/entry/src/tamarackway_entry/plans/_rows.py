"""Rows and objects in which plans are stored."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

import msgspec

POINTER_KEY: Final = 'plan/pointer'
HISTORY_PREFIX: Final = 'plan/history/'
_VERSION_DIGITS: Final = 10  # zero-padded, so that keys sort by version


@dataclass(frozen=True, slots=True)
class PlanPointer:
    """Value of the pointer row and of each history row.

    The pointer row identifies the plan in force. There is one history row for
    each accepted plan.

    :param version: version of the plan.
    :param digest: SHA-256 of the sheet.
    :param author: operator who submitted it.
    :param accepted_at_s: time of acceptance in seconds since the epoch,
        according to the clock of the accepting instance.
    :param token: unique identifier of the submission.
    :param starts: shares by ``service/region`` that its ramps start from.
    :param history: history of the table in which it was committed.
    """

    version: int
    digest: str
    author: str
    accepted_at_s: float
    token: str
    starts: Mapping[str, float]
    history: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """History and version, which order all accepted plans."""
        return (self.history, self.version)


def history_key(version: int) -> str:
    """Return the key of the history row of a version."""
    return f'{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}'


def object_key(digest: str) -> str:
    """Return the object store key of a sheet."""
    return f'plans/{digest}'


def parse_pointer(value: Any) -> PlanPointer | None:
    """Decode the value of a pointer or history row; None if it is absent."""
    if value is None:
        return None
    return msgspec.convert(value, PlanPointer)
