"""HTTP interface of the fake table service."""

from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from tamarackway_standins.faults import FaultInjectionMiddleware
from tamarackway_standins.table._rows import Rows


def build_table_app(rows: Rows) -> FaultInjectionMiddleware:
    """Return an ASGI application that serves a table.

    :param rows: rows to serve.
    """

    async def transact(request: Request) -> JSONResponse:
        document: dict[str, Any] = await request.json()
        conflicts = rows.transact(document['operations'])
        if conflicts:
            return JSONResponse({'conflicts': conflicts}, status_code=409)
        return JSONResponse({'revision': rows.revision})

    async def read(request: Request) -> JSONResponse:
        rows.reads += 1
        keys = request.query_params.getlist('key')
        return JSONResponse({'rows': [rows.read(key) for key in keys]})

    async def scan(request: Request) -> JSONResponse:
        rows.reads += 1
        prefix = request.query_params['prefix']
        limit = int(request.query_params.get('limit', '1000'))
        return JSONResponse({'rows': rows.scan(prefix, limit)})

    async def count(_request: Request) -> JSONResponse:
        return JSONResponse({'writes': rows.writes, 'reads': rows.reads})

    routes = [
        Route('/v1/transactions', transact, methods=['POST']),
        Route('/v1/rows', read),
        Route('/v1/scan', scan),
        Route('/counts', count),
    ]
    return FaultInjectionMiddleware(Starlette(routes=routes))
