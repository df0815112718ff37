"""JSON over HTTP for tests and benchmarks."""

import json
from typing import Any, Final

import anyio
import httpcore

_REQUEST_TIMEOUT_S: Final = 20.0


async def fetch(
    method: str,
    address: str,
    path: str,
    document: Any = None,
) -> Any:
    """Send a JSON document on a new connection and return the JSON response.

    :param method: HTTP method.
    :param address: address of the server, as ``host:port``.
    :param path: path with query.
    :param document: JSON document to send, or None for an empty body.
    """
    body = b'' if document is None else json.dumps(document).encode()
    headers = [('content-type', 'application/json')]
    async with httpcore.AsyncConnectionPool(
        network_backend=httpcore.AnyIOBackend(),
    ) as pool:
        with anyio.fail_after(_REQUEST_TIMEOUT_S):
            response = await pool.request(
                method,
                f'http://{address}{path}',
                headers=headers,
                content=body,
            )
    return json.loads(response.content) if response.content else None
