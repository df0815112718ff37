"""HTTP server for operators."""

from typing import Any, Final

from tamarackway_core.places import Address

from tamarackway_entry.http import HttpServer
from tamarackway_entry.lifecycle import Lifecycle

_MAX_CONNECTIONS: Final = 100


class AdminService:
    """Runs the HTTP server for operators.

    :param app: the ASGI application.
    :param address: address to listen on.
    :param lifecycle: stops the server on shutdown.
    """

    def __init__(
        self,
        app: Any,
        address: Address,
        lifecycle: Lifecycle,
    ) -> None:
        """Configure the server."""
        self._lifecycle = lifecycle
        self._server = HttpServer(app, address, _MAX_CONNECTIONS)
        lifecycle.on_stop(self._server.stop_accepting)

    async def run(self) -> None:
        """Serve until the server is stopped."""
        with self._lifecycle.track_server():
            await self._server.serve()
