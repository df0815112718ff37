"""Serves an ASGI application with uvicorn."""

from typing import Any, Final

import anyio
import uvicorn

_SHUTDOWN_TIMEOUT_S: Final = 1


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address of the form ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def serve(app: Any, address: str) -> None:
    """Serve an application until the process receives a stop signal.

    :param app: ASGI application.
    :param address: IP address and port to listen on.
    """
    host, port = split_address(address)
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop='asyncio',
        http='httptools',
        lifespan='off',
        access_log=False,
        log_level='error',
        timeout_graceful_shutdown=_SHUTDOWN_TIMEOUT_S,
    )
    anyio.run(uvicorn.Server(config).serve)
