"""Tests of links to peers whose bytes end early."""

import base64
import hashlib
import re
from collections.abc import Callable

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from tamarackway_core.places import Address
from tamarackway_core.wire import Message

from tamarackway_entry.links import PeerLink, PeerServer
from tamarackway_entry.links import _link as link_module

HOST = '127.0.0.1'
WEBSOCKET_GUID = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
KEY = re.compile(rb'Sec-WebSocket-Key: (\S+)')
NONCE = b'\x82\x20' + b'n' * 32
REQUEST = (
    b'GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: eDEyMzQ1Njc4OTAxMjM0NQ==\r\n\r\n'
)


def accept(head: bytes) -> bytes:
    """Return a response to a handshake, and a first frame."""
    match = KEY.search(head)
    assert match is not None
    digest = hashlib.sha1(
        match[1] + WEBSOCKET_GUID, usedforsecurity=False
    ).digest()
    return (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n'
        b'Connection: Upgrade\r\nSec-WebSocket-Accept: %s\r\n\r\n%s'
        % (base64.b64encode(digest), NONCE)
    )


def redirect(_head: bytes) -> bytes:
    return (
        b'HTTP/1.1 302 Found\r\nLocation: http://x\r\nContent-Length: 0\r\n\r\n'
    )


def answer_unframed(_head: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n' % (b'9' * 5000)


# Guards against a peer that ends the process by bytes that are no handshake.
@pytest.mark.parametrize('build', [accept, redirect, answer_unframed])
def test_link_survives_a_handshake_that_ends_early(
    monkeypatch: pytest.MonkeyPatch, build: Callable[[bytes], bytes]
) -> None:
    monkeypatch.setattr(link_module, '_FIRST_RETRY_S', 0)
    monkeypatch.setattr(link_module, '_MAX_RETRY_S', 0)
    connections = 0

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        async with stream:
            response = build(await stream.receive())
            connections += 1
            await stream.send(response[: connections % (len(response) + 1)])

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port: int = listener.extra_attributes[SocketAttribute.local_address]()[
            1
        ]
        link = PeerLink(Address(HOST, port), HOST, ('secret',))
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            group.start_soon(link.run)
            with anyio.fail_after(20):
                while connections < 250:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(run)


def test_server_survives_a_handshake_that_ends_early() -> None:
    async def handle(message: Message) -> Message:
        await anyio.sleep(0)
        return message

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port: int = listener.extra_attributes[SocketAttribute.local_address]()[
            1
        ]
        await listener.aclose()
        server = PeerServer(Address(HOST, port), ('secret',), handle)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            await anyio.sleep(0.1)
            sent = REQUEST + b'\x82\xa0key!' + b'n' * 32
            for length in range(len(sent)):
                stream = await anyio.connect_tcp(HOST, port)
                await stream.send(sent[:length] or b'\r')
                await stream.aclose()
            stream = await anyio.connect_tcp(HOST, port)
            await stream.send(REQUEST)
            with anyio.fail_after(2):
                response = await stream.receive()
            await stream.aclose()
            assert response.startswith(b'HTTP/1.1 101')
            group.cancel_scope.cancel()

    anyio.run(run)
