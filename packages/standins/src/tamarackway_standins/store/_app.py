"""HTTP interface of the platform's store."""

import time
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from tamarackway_standins.faults import FaultGate
from tamarackway_standins.store._log import RowLog

_MS_PER_S: Final = 1000
_CONFLICT: Final = 412
_GONE: Final = 410
_NOT_FOUND: Final = 404


def build_store_app(log: RowLog) -> FaultGate:
    """Return the ASGI application of a store.

    :param log: the rows that it serves.
    """
    rows = _RowCalls(log)
    objects = _ObjectCalls()
    routes = [
        Route('/rows-tx', rows.transact, methods=['POST']),
        Route('/rows-get', rows.get),
        Route('/rows-feed', rows.feed),
        Route('/blob-put/{name:path}', objects.put, methods=['PUT']),
        Route('/blob-get/{name:path}', objects.get),
        # Not of the protocol: lets tests lose the history.
        Route('/forget', rows.forget, methods=['POST']),
    ]
    return FaultGate(Starlette(routes=routes))


class _RowCalls:
    """Calls on rows."""

    def __init__(self, log: RowLog) -> None:
        self._log = log

    async def transact(self, request: Request) -> JSONResponse:
        conflicts = self._log.transact(await request.json())
        if conflicts is None:
            return self._answer()
        return self._answer(_CONFLICT, rows=conflicts)

    async def get(self, request: Request) -> JSONResponse:
        query = request.query_params
        rows, more = self._log.list_rows(
            query['table'],
            query.get('part', ''),
            query.get('from', ''),
            int(query.get('limit', '500')),
        )
        return self._answer(rows=rows, hasMore=more)

    async def feed(self, request: Request) -> JSONResponse:
        query = request.query_params
        table = query['table']
        after = int(query['after'])
        if after < self._log.forgotten:
            return self._answer(_GONE)
        wait_s = int(query.get('waitMs', '0')) / _MS_PER_S
        await self._log.wait_for_change(table, after, wait_s)
        return self._answer(rows=self._log.list_changes(table, after))

    async def forget(self, _request: Request) -> JSONResponse:
        self._log.forget_history()
        return self._answer()

    def _answer(self, status: int = 200, **fields: Any) -> JSONResponse:
        now = f'{int(time.monotonic() * _MS_PER_S)}ms'
        body = {'ver': self._log.version, 'now': now, **fields}
        return JSONResponse(body, status_code=status)


class _ObjectCalls:
    """Calls on objects."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(self, request: Request) -> Response:
        name = request.path_params['name']
        exists = name in self._objects
        if request.headers.get('if-none-match') == '*' and exists:
            return Response(status_code=_CONFLICT)
        self._objects[name] = await request.body()
        return Response()

    async def get(self, request: Request) -> Response:
        content = self._objects.get(request.path_params['name'])
        if content is None:
            return Response(status_code=_NOT_FOUND)
        return Response(content)
