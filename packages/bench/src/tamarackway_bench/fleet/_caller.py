"""HTTP client that discovers entry instances and sends requests to them."""

import json
from dataclasses import dataclass
from typing import Any, Final

import anyio
import httpcore
import uuid6

_REQUEST_TIMEOUT_S: Final = 15.0
_NO_RESPONSE: Final = 0
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class Response:
    """Response of an entry instance.

    :param status: HTTP status; 0 if the connection failed.
    :param headers: headers by lower-case name.
    :param body: response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Outcome that the entry instance reported."""
        return self.headers.get('x-tamarackway-outcome', '')

    @property
    def request_id(self) -> str:
        """Request ID, by which the entry instance explains its decision."""
        return self.headers.get('x-tamarackway-request-id', '')

    def json(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


class Caller:
    """Sends requests to entry instances.

    :param known_entries: addresses of entry instances, tried in order.
    :param host: source IP address of connections.
    """

    def __init__(
        self, known_entries: list[str], host: str = '127.0.0.1'
    ) -> None:
        """Create a connection pool; connections are opened on demand."""
        self.known_entries = known_entries
        self.region = ''
        self.failed_sends = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            local_address=host,
            network_backend=httpcore.AnyIOBackend(),
        )

    async def discover_entries(self, region: str = '') -> list[str]:
        """Fetch and store the addresses of entry instances to use.

        Returns an empty list if no known instance answers.
        """
        self.region = region or self.region
        for address in self.known_entries:
            query = f'?region={self.region}' if self.region else ''
            response = await self.send('GET', address, f'/v1/entries{query}')
            if response.status == _OK:
                entries = response.json()['entries']
                self.known_entries = [entry['address'] for entry in entries]
                return self.known_entries
        return []

    async def look_up(
        self,
        service: str,
        path: str = '',
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a look-up, moving on to the next instance if none responds."""
        response = Response(_NO_RESPONSE, {}, b'')
        for address in self.known_entries:
            response = await self.send(
                'GET',
                address,
                f'/v1/services/{service}/{path}',
                headers,
            )
            if response.status:
                break
        return response

    async def send_at_most_once(
        self,
        service: str,
        body: bytes,
        key: str = '',
        address: str = '',
        attempt: int = 1,
    ) -> Response:
        """Send a request that runs at most once."""
        return await self.send(
            'POST',
            address or self.known_entries[0],
            f'/v1/services/{service}/',
            {
                'idempotency-key': key or str(uuid6.uuid7()),
                'x-request-attempt': str(attempt),
            },
            body,
        )

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Response:
        """Send a request; the status is 0 if no response is received."""
        try:
            with anyio.fail_after(_REQUEST_TIMEOUT_S):
                response = await self._pool.request(
                    method,
                    f'http://{address}{path}',
                    headers=list((headers or {}).items()),
                    content=body,
                )
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
            self.failed_sends += 1
            return Response(_NO_RESPONSE, {}, b'')
        headers_by_name = {
            name.decode('latin-1').lower(): text.decode('latin-1')
            for name, text in response.headers
        }
        return Response(response.status, headers_by_name, response.content)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
