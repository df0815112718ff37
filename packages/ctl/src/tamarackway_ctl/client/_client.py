"""HTTP client of the administration API."""

import json
import time
from typing import Any, Final
from urllib.parse import quote, urlencode

import httpcore

from tamarackway_ctl.client._errors import ApiError, ExitCode, find_exit_code

_TIMEOUT_S: Final = 30.0
_MAX_RESPONSE_BYTES: Final = 67_108_864
_MIN_ERROR_STATUS: Final = 400
# Of a final response. The parser takes any three digits for a status.
_FIRST_STATUS: Final = 200
_LAST_STATUS: Final = 599
_CONNECTION_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    ValueError,
)


class AdminClient:
    """Calls the administration API of one entry instance.

    :param entry: administration address, as ``host:port``.
    :param token: bearer token of the operator.
    """

    def __init__(self, entry: str, token: str) -> None:
        """Create a client; no connection is opened yet."""
        self._entry = entry
        self._token = token

    def get_plan(self) -> dict[str, Any]:
        """Return the plan in force."""
        return self._call('GET', '/v1/plan')

    def submit_plan(
        self,
        sheet: bytes,
        base_version: int | None,
    ) -> dict[str, Any]:
        """Submit a sheet and return the accepted plan version.

        :param sheet: bytes of the CSV file.
        :param base_version: plan version that must be in force for the sheet
            to be accepted, or None to accept it unconditionally.
        """
        path = '/v1/plan'
        if base_version is not None:
            query = urlencode({'base_version': base_version})
            path = f'{path}?{query}'
        return self._call('POST', path, sheet)

    def list_history(self) -> list[dict[str, Any]]:
        """Return the accepted plans, newest last."""
        history: list[dict[str, Any]] = self._call(
            'GET',
            '/v1/plan/history',
        )['history']
        return history

    def drain_target(self, target: str, reason: str) -> dict[str, Any]:
        """Drain a target and return the plan version that drains it.

        :param target: name of the target.
        :param reason: reason to record in the sheet.
        """
        query = urlencode({'reason': reason})
        name = quote(target, safe='')
        return self._call('POST', f'/v1/targets/{name}/drain?{query}')

    def get_status(self) -> dict[str, Any]:
        """Return the state of all entry instances and targets."""
        return self._call('GET', '/v1/status')

    def explain_request(self, request_id: str) -> list[str]:
        """Return the explanation of a routing decision, one string a line.

        :param request_id: identifier from the response header.
        """
        name = quote(request_id, safe='')
        lines: list[str] = self._call('GET', f'/v1/explain/{name}')['lines']
        return lines

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> dict[str, Any]:
        timeouts = dict.fromkeys(('connect', 'read', 'write'), _TIMEOUT_S)
        try:
            with httpcore.stream(
                method,
                f'http://{self._entry}{path}',
                headers={'authorization': f'Bearer {self._token}'},
                content=body,
                extensions={'timeout': timeouts},
            ) as response:
                document = _read_document(response)
        except _CONNECTION_ERRORS as error:
            raise ApiError(
                {
                    'error': 'unreachable',
                    'detail': f'no response from {self._entry}: {error}',
                    'remedy': 'try another entry instance with --entry',
                },
                ExitCode.UNREACHABLE,
            ) from error
        if response.status >= _MIN_ERROR_STATUS:
            raise ApiError(document, find_exit_code(response.status))
        return document


def _read_document(response: httpcore.Response) -> dict[str, Any]:
    """Return the JSON document in a response.

    :param response: the response, whose body is not read yet.
    :raises ValueError: if it is too large, too slow or not a JSON object, or
        has no valid status.
    """
    if not _FIRST_STATUS <= response.status <= _LAST_STATUS:
        raise ValueError(f'{response.status} is no status of a response')
    end_s = time.monotonic() + _TIMEOUT_S
    body = bytearray()
    for part in response.iter_stream():
        body += part
        if len(body) > _MAX_RESPONSE_BYTES or time.monotonic() > end_s:
            raise ValueError('the response has no end')
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError('the response is no JSON object')  # ruff: ignore[type-check-without-type-error]
    return document
