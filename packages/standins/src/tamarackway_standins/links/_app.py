"""HTTP control interface of the simulated links."""

from typing import Any

import anyio
import uvicorn
from anyio.abc import TaskGroup
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from tamarackway_standins.links._relay import Relay
from tamarackway_standins.links._topology import Topology
from tamarackway_standins.serving import split_address


def run_links(address: str) -> None:
    """Serve the control interface and the relays configured through it.

    :param address: IP address and port of the control interface.
    """
    anyio.run(_run, address)


async def _run(address: str) -> None:
    host, port = split_address(address)
    async with anyio.create_task_group() as group:
        config = uvicorn.Config(
            _build_app(Topology(), group),
            host=host,
            port=port,
            loop='asyncio',
            lifespan='off',
            access_log=False,
            log_level='error',
        )
        await uvicorn.Server(config).serve()
        group.cancel_scope.cancel()


def _build_app(topology: Topology, group: TaskGroup) -> Starlette:
    relays: dict[str, Relay] = {}

    async def put_topology(request: Request) -> JSONResponse:
        document: dict[str, Any] = await request.json()
        for field, setting in document.items():
            setattr(topology, field, setting)
        return JSONResponse({})

    async def put_relays(request: Request) -> JSONResponse:
        for document in await request.json():
            if document['listen'] not in relays:
                relay = Relay(topology, **document)
                relays[relay.listen] = relay
                group.start_soon(relay.run)
        return JSONResponse({})

    async def black_hole(request: Request) -> JSONResponse:
        black_holed = [
            relays[listen].black_hole() for listen in await request.json()
        ]
        return JSONResponse({'connections': sum(black_holed)})

    return Starlette(
        routes=[
            Route('/topology', put_topology, methods=['PUT']),
            Route('/relays', put_relays, methods=['PUT']),
            Route('/silence', black_hole, methods=['POST']),
        ],
    )
