"""HTTP client of the administration API."""

import json
from typing import Any, Final
from urllib.parse import quote, urlencode

import httpcore

from tamarackway_ctl.client._errors import ApiError, ExitCode, find_exit_code

_TIMEOUT_S: Final = 30.0
_MIN_ERROR_STATUS: Final = 400


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
        timeouts = {'connect': _TIMEOUT_S, 'read': _TIMEOUT_S}
        try:
            response = httpcore.request(
                method,
                f'http://{self._entry}{path}',
                headers={'authorization': f'Bearer {self._token}'},
                content=body,
                extensions={'timeout': timeouts},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise ApiError(
                {
                    'error': 'unreachable',
                    'detail': f'no response from {self._entry}: {error}',
                    'remedy': 'try another entry instance with --entry',
                },
                ExitCode.UNREACHABLE,
            ) from error
        document: dict[str, Any] = json.loads(response.content)
        if response.status >= _MIN_ERROR_STATUS:
            raise ApiError(document, find_exit_code(response.status))
        return document
