"""HTTP server for callers."""

from tamarackway_core.places import parse_address

from tamarackway_entry.callers._app import CallerApp
from tamarackway_entry.http import HttpServer
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.settings import Settings


class CallerService:
    """Runs the HTTP server for callers.

    :param app: the ASGI application.
    :param settings: settings of the daemon.
    :param lifecycle: stops the server on shutdown.
    """

    def __init__(
        self,
        app: CallerApp,
        settings: Settings,
        lifecycle: Lifecycle,
    ) -> None:
        """Configure the server."""
        self._lifecycle = lifecycle
        self._server = HttpServer(
            app,
            parse_address(settings.instance.callers),
            settings.callers.max_connections,
        )
        lifecycle.on_stop(self._server.stop_accepting)

    async def run(self) -> None:
        """Serve until the server is stopped."""
        with self._lifecycle.track_server():
            await self._server.serve()
