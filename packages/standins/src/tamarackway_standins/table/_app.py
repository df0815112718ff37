"""HTTP interface of the fake table service."""

from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from tamarackway_standins.faults import FaultInjectionMiddleware
from tamarackway_standins.table._rows import Rows

_RESTORE_PATH: Final = '/restore'


def build_table_app(rows: Rows) -> FaultInjectionMiddleware:
    """Return an ASGI application that serves a table.

    :param rows: rows to serve.
    """

    def respond(document: dict[str, Any], status: int = 200) -> JSONResponse:
        content = {'history': rows.history, **document}
        return JSONResponse(content, status_code=status)

    async def restore(request: Request) -> JSONResponse:
        document: dict[str, Any] = await request.json()
        rows.restore(document['age_s'])
        return respond({})

    async def transact(request: Request) -> JSONResponse:
        document: dict[str, Any] = await request.json()
        conflicts = rows.transact(document['operations'])
        if conflicts:
            return respond({'conflicts': conflicts}, 409)
        return respond({'revision': rows.revision})

    async def read(request: Request) -> JSONResponse:
        rows.reads += 1
        keys = request.query_params.getlist('key')
        return respond({'rows': [rows.read(key) for key in keys]})

    async def scan(request: Request) -> JSONResponse:
        rows.reads += 1
        prefix = request.query_params['prefix']
        limit = int(request.query_params.get('limit', '1000'))
        return respond({'rows': rows.scan(prefix, limit)})

    async def count(_request: Request) -> JSONResponse:
        return JSONResponse({'writes': rows.writes, 'reads': rows.reads})

    routes = [
        Route('/v1/transactions', transact, methods=['POST']),
        Route('/v1/rows', read),
        Route('/v1/scan', scan),
        Route('/counts', count),
        # Lets tests restore the table from a copy of some age.
        Route(_RESTORE_PATH, restore, methods=['POST']),
    ]
    return FaultInjectionMiddleware(Starlette(routes=routes), (_RESTORE_PATH,))
