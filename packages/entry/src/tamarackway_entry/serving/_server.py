"""uvicorn server that leaves signal handling and logging to the daemon."""

import socket
from collections.abc import Generator
from contextlib import contextmanager
from typing import Any, Final

import uvicorn
from tamarackway_core.places import Address

from tamarackway_entry.serving._acceptor import Acceptor
from tamarackway_entry.serving._admission import AdmissionGate
from tamarackway_entry.serving._protocol import BoundedHttpProtocol

_KEEP_ALIVE_S: Final = 5
_BACKLOG: Final = 1024


class HttpServer(uvicorn.Server):
    """Serves one ASGI application on one address.

    :param app: the application.
    :param address: address to listen on.
    :param max_connections: maximum number of concurrent requests and
        connections, or None for no limit.
    :param keep_alive_s: time after which an idle connection is closed.
    :param gate: admits requests, None to start each one at once.
    """

    def __init__(
        self,
        app: Any,
        address: Address,
        max_connections: int | None,
        keep_alive_s: int = _KEEP_ALIVE_S,
        gate: AdmissionGate | None = None,
    ) -> None:
        """Configure uvicorn."""
        super().__init__(
            uvicorn.Config(
                app,
                host=address.host,
                port=address.port,
                loop='asyncio',
                http=BoundedHttpProtocol,
                ws='none',
                lifespan='off',
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                limit_concurrency=max_connections,
                timeout_keep_alive=keep_alive_s,
                backlog=_BACKLOG,
            ),
        )
        self._gate = gate
        self._acceptor: Acceptor | None = None
        if gate is not None:
            self._acceptor = Acceptor(
                address, _BACKLOG, self._create_protocol, gate
            )

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to listen; called by uvicorn."""
        if self._acceptor is None:
            await super().startup(sockets)
        else:
            await super().startup([])
            self._acceptor.open()

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Stop to listen and end the connections; called by uvicorn."""
        if self._acceptor is not None:
            self._acceptor.close()
        await super().shutdown(sockets)

    @contextmanager
    def capture_signals(self) -> Generator[None]:
        """Install no signal handlers; the daemon has its own."""
        yield

    def stop_accepting(self) -> None:
        """Close the listening socket and end after the requests in flight.

        Further calls close connections that were accepted meanwhile.
        """
        if self.should_exit:
            for connection in tuple(self.server_state.connections):
                connection.shutdown()
        self.should_exit = True

    def _create_protocol(self) -> BoundedHttpProtocol:
        protocol = BoundedHttpProtocol(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        protocol.gate = self._gate
        return protocol
