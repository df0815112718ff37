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


_EXIT_CODE_BY_STATUS: Final = MappingProxyType({
    401: ExitCode.UNAUTHORIZED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    422: ExitCode.SHEET_FAULTS,
    503: ExitCode.UNAVAILABLE,
})


class ApiError(Exception):
    """The entry instance rejected a request or did not respond.

    :param document: JSON body of the error response.
    :param exit_code: exit code of the process.
    """

    def __init__(self, document: dict[str, Any], exit_code: ExitCode) -> None:
        """Build the message from the detail and the remedy."""
        detail = document.get('detail', 'the request failed')
        remedy = document.get('remedy', 'see docs/OPERATING.md')
        super().__init__(f'{detail}; {remedy}')
        self.document = document
        self.exit_code = exit_code


def find_exit_code(status: int) -> ExitCode:
    """Return the exit code for an HTTP status."""
    return _EXIT_CODE_BY_STATUS.get(status, ExitCode.FAILED)
