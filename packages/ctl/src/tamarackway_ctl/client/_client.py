"""Calls the administration API of one entry instance."""

import json
from typing import Any, Final
from urllib.parse import quote, urlencode

import httpcore

from tamarackway_ctl.client._errors import ApiError, ExitCode, find_exit_code

_TIMEOUT_S: Final = 30.0
_FIRST_ERROR: Final = 400


class AdminClient:
    """Calls one entry instance.

    :param entry: administration address, as ``host:port``.
    :param token: bearer token of the operator.
    """

    def __init__(self, entry: str, token: str) -> None:
        """Remember whom to call."""
        self._entry = entry
        self._token = token

    def show_plan(self) -> dict[str, Any]:
        """Return the plan in force."""
        return self._call('GET', '/v1/plan')

    def submit_plan(
        self,
        sheet: bytes,
        base_version: int | None,
    ) -> dict[str, Any]:
        """Submit a sheet and return the version it got.

        :param sheet: bytes of the CSV file.
        :param base_version: version that must be in force, or None.
        """
        path = '/v1/plan'
        if base_version is not None:
            query = urlencode({'base_version': base_version})
            path = f'{path}?{query}'
        return self._call('POST', path, sheet)

    def list_history(self) -> list[dict[str, Any]]:
        """Return the accepted plans, the newest last."""
        history: list[dict[str, Any]] = self._call(
            'GET',
            '/v1/plan/history',
        )['history']
        return history

    def drain(self, target: str, reason: str) -> dict[str, Any]:
        """Let a target leave and return the version of the plan that says so.

        :param target: name of the target.
        :param reason: why, for the sheet.
        """
        query = urlencode({'reason': reason})
        name = quote(target, safe='')
        return self._call('POST', f'/v1/targets/{name}/drain?{query}')

    def show_status(self) -> dict[str, Any]:
        """Return the state of all entry instances and targets."""
        return self._call('GET', '/v1/status')

    def explain(self, request_id: str) -> list[str]:
        """Return the decision on a request as lines.

        :param request_id: identifier from the answer's header.
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
                    'detail': f'{self._entry} does not answer: {error}',
                    'remedy': 'name another entry instance with --entry',
                },
                ExitCode.UNREACHABLE,
            ) from error
        document: dict[str, Any] = json.loads(response.content)
        if response.status >= _FIRST_ERROR:
            raise ApiError(document, find_exit_code(response.status))
        return document
