"""Client of the object store."""

from typing import Final

from tamarackway_entry.http import ConnectionPool, HttpError, HttpRequest
from tamarackway_entry.store import StoreUnavailableError

_OK: Final = 200
_NO_CONTENT: Final = 204
_NOT_FOUND: Final = 404


class ObjectStore:
    """Stores and fetches immutable objects by key.

    :param pool: connections to the object store.
    :param timeout_s: request timeout in seconds.
    """

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        """Store the connection pool."""
        self._pool = pool
        self._timeout_s = timeout_s

    async def put(self, key: str, body: bytes) -> None:
        """Store an object.

        :param key: key of the object; always used with the same body.
        :param body: bytes of the object.
        :raises StoreUnavailableError: if the store does not confirm the write.
        """
        status, _ = await self._call('PUT', key, body)
        if status != _NO_CONTENT:
            raise StoreUnavailableError(
                f'the object store answered with status {status}'
            )

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if the key does not exist.

        :param key: key of the object.
        :raises StoreUnavailableError: if the store does not answer.
        """
        status, body = await self._call('GET', key, b'')
        if status == _NOT_FOUND:
            return None
        if status != _OK:
            raise StoreUnavailableError(
                f'the object store answered with status {status}'
            )
        return body

    async def _call(
        self,
        method: str,
        key: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        path = f'/v1/objects/{key}'
        request = HttpRequest(method, path, {}, body, self._timeout_s)
        try:
            response = await self._pool.send(request)
        except HttpError as error:
            raise StoreUnavailableError(str(error)) from error
        return response.status, response.body
