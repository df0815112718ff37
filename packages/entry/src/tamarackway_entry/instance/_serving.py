"""Runs one HTTP server until the instance stops."""

from typing import Any, Final

from tamarackway_core.places import Address

from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.serving import AdmissionGate, HttpServer

_IDLE_TIMEOUT_S: Final = 75  # longer than the idle time-out of callers


class ServerService:
    """Serves one application on one address.

    :param app: the ASGI application.
    :param address: address to listen on.
    :param lifecycle: stops the server.
    :param gate: admits requests, None to start each one at once.
    """

    def __init__(
        self,
        app: Any,
        address: Address,
        lifecycle: Lifecycle,
        gate: AdmissionGate | None = None,
    ) -> None:
        """Create a server that does not listen yet."""
        self.server = HttpServer(app, address, None, _IDLE_TIMEOUT_S, gate)
        self._lifecycle = lifecycle
        lifecycle.on_stop(self.server.stop_accepting)

    async def run(self) -> None:
        """Serve until the instance stops."""
        with self._lifecycle.track_server():
            await self.server.serve()
