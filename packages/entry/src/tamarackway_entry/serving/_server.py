"""uvicorn server that leaves signal handling and logging to the daemon."""

from collections.abc import Generator
from contextlib import contextmanager
from typing import Any, Final

import uvicorn
from tamarackway_core.places import Address

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
    """

    def __init__(
        self,
        app: Any,
        address: Address,
        max_connections: int | None,
        keep_alive_s: int = _KEEP_ALIVE_S,
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
