"""Tests of idle connections to servers that write or close unasked."""

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
from tamarackway_core.places import Address

from tamarackway_entry.upstream import IdleConnectionPool, connect

HOST = '127.0.0.1'
ANSWER = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'


def shut_down(writer: asyncio.StreamWriter) -> None:
    opened: socket.socket = writer.get_extra_info('socket')
    opened.shutdown(socket.SHUT_WR)


# Guards against a refusal that a target writes once more while the connection
# is idle, and against a connection that it has closed. The event loop has not
# noticed either when the next request comes.
@pytest.mark.parametrize(
    ('end', 'is_kept'),
    [
        (lambda writer: None, True),
        (lambda writer: writer.write(ANSWER), False),
        (lambda writer: writer.write(b'x'), False),
        (shut_down, False),
    ],
)
def test_connection_with_unread_bytes_is_not_reused(
    end: Callable[[asyncio.StreamWriter], object], *, is_kept: bool
) -> None:
    async def run() -> bool:
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            await reader.readexactly(3)
            writer.write(ANSWER)

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        pool = IdleConnectionPool()
        connection = await connect(Address(HOST, port))
        await connection.exchange(b'ask', lambda _response: True)
        pool.release(connection, 0)
        end(writers[0])
        time.sleep(0.05)
        reused = pool.acquire(5, 0)
        connection.close()
        writers[0].close()
        server.close()
        return reused is connection

    assert asyncio.run(run()) is is_kept
