"""HTTP interface of the fake object store."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tamarackway_standins.faults import FaultInjectionMiddleware


def build_objects_app() -> FaultInjectionMiddleware:
    """Return an ASGI application that serves an empty object store."""
    objects: dict[str, bytes] = {}

    async def put(request: Request) -> Response:
        objects[request.path_params['key']] = await request.body()
        return Response(status_code=204)

    async def get(request: Request) -> Response:
        body = objects.get(request.path_params['key'])
        if body is None:
            return Response(status_code=404)
        return Response(body, media_type='application/octet-stream')

    routes = [
        Route('/v1/objects/{key:path}', put, methods=['PUT']),
        Route('/v1/objects/{key:path}', get),
    ]
    return FaultInjectionMiddleware(Starlette(routes=routes))
