"""HTTP interface of the fake store, by the platform's published protocol."""

import time
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from tamarackway_standins.faults import FaultInjectionMiddleware
from tamarackway_standins.store._row_store import RowStore

_MS_PER_S: Final = 1000
_PRECONDITION_FAILED: Final = 412
_HISTORY_COMPACTED: Final = 410
_NOT_FOUND: Final = 404
# Not part of the protocol: let tests restore the store from a copy of some age,
# also while it is down, and count the calls.
_RESTORE_PATH: Final = '/restore'
_COUNTS_PATH: Final = '/counts'


def build_store_app(store: RowStore) -> FaultInjectionMiddleware:
    """Return an ASGI application that serves a store.

    :param store: rows to serve.
    """
    rows = _RowEndpoints(store)
    blobs = _BlobEndpoints()
    routes = [
        Route('/rows-tx', rows.transact, methods=['POST']),
        Route('/rows-get', rows.get),
        Route('/rows-feed', rows.feed),
        Route('/blob-put/{name:path}', blobs.put, methods=['PUT']),
        Route('/blob-get/{name:path}', blobs.get),
        # Not part of the protocol: lets tests compact the history.
        Route('/forget', rows.compact, methods=['POST']),
        Route(_RESTORE_PATH, rows.restore, methods=['POST']),
        Route(_COUNTS_PATH, rows.count),
    ]
    return FaultInjectionMiddleware(
        Starlette(routes=routes), (_RESTORE_PATH, _COUNTS_PATH)
    )


class _RowEndpoints:
    """Endpoints for rows."""

    def __init__(self, store: RowStore) -> None:
        self._store = store
        self._calls = 0

    async def transact(self, request: Request) -> JSONResponse:
        self._calls += 1
        conflicts = self._store.transact(await request.json())
        if conflicts is None:
            return self._respond()
        return self._respond(_PRECONDITION_FAILED, rows=conflicts)

    async def get(self, request: Request) -> JSONResponse:
        self._calls += 1
        query = request.query_params
        rows, more = self._store.list_rows(
            query['table'],
            query.get('part', ''),
            query.get('from', ''),
            int(query.get('limit', '500')),
        )
        return self._respond(rows=rows, hasMore=more)

    async def feed(self, request: Request) -> JSONResponse:
        self._calls += 1
        query = request.query_params
        table = query['table']
        after = int(query['after'])
        if not self._store.has_history(after):
            return self._respond(_HISTORY_COMPACTED)
        wait_s = int(query.get('waitMs', '0')) / _MS_PER_S
        await self._store.wait_for_change(table, after, wait_s)
        return self._respond(rows=self._store.list_changes(table, after))

    async def compact(self, _request: Request) -> JSONResponse:
        self._store.compact_history()
        return self._respond()

    async def count(self, _request: Request) -> JSONResponse:
        return JSONResponse({'calls': self._calls})

    async def restore(self, request: Request) -> JSONResponse:
        document = await request.json()
        self._store.restore(document['age_s'])
        return self._respond()

    def _respond(self, status: int = 200, **fields: Any) -> JSONResponse:
        now = f'{int(time.monotonic() * _MS_PER_S)}ms'
        body = {'ver': self._store.version, 'now': now, **fields}
        headers = {'Store-Era': str(self._store.era)}
        return JSONResponse(body, status_code=status, headers=headers)


class _BlobEndpoints:
    """Endpoints for blobs."""

    def __init__(self) -> None:
        self._blobs: dict[str, bytes] = {}

    async def put(self, request: Request) -> Response:
        name = request.path_params['name']
        exists = name in self._blobs
        if request.headers.get('if-none-match') == '*' and exists:
            return Response(status_code=_PRECONDITION_FAILED)
        self._blobs[name] = await request.body()
        return Response()

    async def get(self, request: Request) -> Response:
        content = self._blobs.get(request.path_params['name'])
        if content is None:
            return Response(status_code=_NOT_FOUND)
        return Response(content)
