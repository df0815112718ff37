"""HTTP interface of the fake instance list."""

import time
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from tamarackway_standins.faults import FaultInjectionMiddleware

_History = list[tuple[float, dict[str, Any] | None]]


def build_instances_app(lag_s: float) -> FaultInjectionMiddleware:
    """Return an ASGI application that serves an empty instance list.

    :param lag_s: delay before a change shows in the list, in seconds.
    """
    histories: dict[str, _History] = {}

    async def put(request: Request) -> JSONResponse:
        document = await request.json()
        _record(histories, request.path_params['name'], document)
        return JSONResponse({})

    async def remove(request: Request) -> JSONResponse:
        _record(histories, request.path_params['name'], None)
        return JSONResponse({})

    async def show(_request: Request) -> JSONResponse:
        visible_until_s = time.monotonic() - lag_s
        entries = (
            _state_at(history, visible_until_s)
            for history in histories.values()
        )
        listed = [entry for entry in entries if entry is not None]
        return JSONResponse({
            kind: [entry['about'] for entry in listed if entry['kind'] == kind]
            for kind in ('instances', 'targets')
        })

    routes = [
        Route('/v1/instances', show),
        Route('/v1/instances/{name}', put, methods=['PUT']),
        Route('/v1/instances/{name}', remove, methods=['DELETE']),
    ]
    return FaultInjectionMiddleware(Starlette(routes=routes))


def _record(
    histories: dict[str, _History],
    name: str,
    document: dict[str, Any] | None,
) -> None:
    history = histories.setdefault(name, [])
    history.append((time.monotonic(), document))


def _state_at(
    history: _History, visible_until_s: float
) -> dict[str, Any] | None:
    state = None
    for changed_s, document in history:
        if changed_s <= visible_until_s:
            state = document
    return state
