"""Errors of the administration API and the exit codes they map to."""

import enum
from types import MappingProxyType
from typing import Any, Final


class ExitCode(enum.IntEnum):
    """Exit codes of tamarackctl."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNAUTHORIZED = 4
    SHEET_FAULTS = 5
    CONFLICT = 6
    NOT_FOUND = 7
    UNAVAILABLE = 8


_BY_STATUS: Final = MappingProxyType({
    401: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.SHEET_FAULTS,
    503: ExitCode.UNAVAILABLE,
})


class ApiError(Exception):
    """The entry instance refused a call or cannot be reached.

    :param document: the JSON body of the refusal.
    :param exit_code: code to exit with.
    """

    def __init__(self, document: dict[str, Any], exit_code: ExitCode) -> None:
        """Summarise the refusal in the message."""
        detail = document.get('detail', 'the call failed')
        remedy = document.get('remedy', 'see docs/OPERATING.md')
        super().__init__(f'{detail}; {remedy}')
        self.document = document
        self.exit_code = exit_code


def find_exit_code(status: int) -> ExitCode:
    """Return the exit code for an HTTP status."""
    return _BY_STATUS.get(status, ExitCode.FAILED)
