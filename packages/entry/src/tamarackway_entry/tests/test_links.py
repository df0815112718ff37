"""Tests of links to peers whose bytes end early, never, or not at all."""

import base64
import hashlib
import re
from collections.abc import Callable
from contextlib import suppress

import anyio
import pytest
import websockets
from anyio.abc import SocketAttribute, SocketStream
from tamarackway_core.places import Address
from tamarackway_core.wire import (
    Envelope,
    Message,
    Ok,
    RowsRelay,
    StoredRow,
    decode,
    encode,
)

from tamarackway_entry.links import (
    PeerLink,
    PeerServer,
    PeerUnreachableError,
)
from tamarackway_entry.links import _link as link_module
from tamarackway_entry.links._auth import authenticate
from tamarackway_entry.links._connections import PeerClientConnection

HOST = '127.0.0.1'
WEBSOCKET_GUID = b'258EAFA5-E914-47DA-95CA-C5AB0DC85B11'
KEY = re.compile(rb'Sec-WebSocket-Key: (\S+)')
NONCE = b'\x82\x20' + b'n' * 32
REQUEST = (
    b'GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: eDEyMzQ1Njc4OTAxMjM0NQ==\r\n\r\n'
)


# The start of one message of 8 MiB, of a message in many frames, and of a head.
ENDLESS = (
    b'\x82\x7f' + (2**23 - 1).to_bytes(8) + b'x' * 32_768,
    b'\x02\x00' + b'\x00\x00' * 16_384,
    b'\x89\x00' * 16_384,
)
KEYS = ('secret',)
MAX_REJECTION_S = 1.5  # below the time-out of authentication


def mask(frames: bytes) -> bytes:
    """Return frames as a client sends them, masked with zeros."""
    head, _, payload = frames.partition(b'x')
    if payload:
        return head[:1] + b'\xff' + head[2:] + bytes(4) + payload
    pairs = zip(frames[::2], frames[1::2], strict=True)
    return b''.join(bytes((first, 0x80)) + bytes(4) for first, _ in pairs)


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


async def find_port() -> int:
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port: int = listener.extra_attributes[SocketAttribute.local_address]()[1]
    await listener.aclose()
    return port


async def wait_for_end(stream: SocketStream) -> None:
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await stream.receive()


async def reply(message: Message) -> Message:
    await anyio.sleep(0)
    return message


# Guards against strangers at the address for peers that fill the memory of the
# instance: each could send messages of 8 MiB before it had proved a key.
@pytest.mark.parametrize('frames', ENDLESS)
def test_stranger_who_sends_much_is_disconnected_at_once(
    frames: bytes,
) -> None:
    async def run() -> None:
        port = await find_port()
        server = PeerServer(Address(HOST, port), KEYS, reply)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            await anyio.sleep(0.1)
            stream = await anyio.connect_tcp(HOST, port)
            await stream.send(REQUEST + mask(frames))
            with anyio.fail_after(MAX_REJECTION_S):
                await wait_for_end(stream)
            await stream.aclose()
            group.cancel_scope.cancel()

    anyio.run(run)


# Guards against the same from a server that has taken over a peer's address.
@pytest.mark.parametrize('frames', ENDLESS)
def test_server_without_a_key_that_sends_much_is_left_at_once(
    monkeypatch: pytest.MonkeyPatch, frames: bytes
) -> None:
    monkeypatch.setattr(link_module, '_MAX_RETRY_S', 9)
    ended = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.send(accept(await stream.receive()) + frames)
            await wait_for_end(stream)
            ended.set()

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port: int = listener.extra_attributes[SocketAttribute.local_address]()[
            1
        ]
        link = PeerLink(Address(HOST, port), HOST, KEYS)
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            group.start_soon(link.run)
            with anyio.fail_after(MAX_REJECTION_S):
                await ended.wait()
            group.cancel_scope.cancel()

    anyio.run(run)


# Guards against bounds on strangers that hold for peers with a key, too.
def test_peer_with_a_key_may_send_much() -> None:
    async def run() -> None:
        port = await find_port()
        server = PeerServer(Address(HOST, port), KEYS, reply)
        link = PeerLink(Address(HOST, port), HOST, KEYS)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            group.start_soon(link.run)
            sent = RowsRelay(
                'table', 0, 1, (StoredRow('key', b'x' * 1_000_000, 1),)
            )
            with anyio.fail_after(10):
                while True:
                    with suppress(PeerUnreachableError):
                        assert await link.request(sent, 5) == sent
                        break
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    anyio.run(run)


# Guards against connections that are kept for ever after the machine of a peer
# has ended without closing them.
def test_peer_without_heartbeats_is_disconnected() -> None:
    async def run() -> None:
        port = await find_port()
        server = PeerServer(Address(HOST, port), KEYS, reply, 0.3)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            await anyio.sleep(0.1)
            async with websockets.connect(
                f'ws://{HOST}:{port}/',
                ping_interval=None,
                create_connection=PeerClientConnection,
            ) as connection:
                assert isinstance(connection, PeerClientConnection)
                assert await authenticate(connection, KEYS, 'client')
                for number in range(5):
                    await connection.send(encode(Envelope(number, Ok())))
                    answer = await connection.recv()
                    assert isinstance(answer, bytes)
                    assert decode(answer).number == number
                    await anyio.sleep(0.1)
                with (
                    anyio.fail_after(5),
                    pytest.raises(websockets.ConnectionClosed),
                ):
                    await connection.recv()
            group.cancel_scope.cancel()

    anyio.run(run)


# Guards against instances that no longer understand each other, since one of
# them knows a newer shared secret than the other, or only a newer one.
@pytest.mark.parametrize(
    ('client_keys', 'server_keys'),
    [
        (('old',), ('old',)),
        (('new', 'old'), ('old',)),
        (('old',), ('new', 'old')),
        (('new',), ('new', 'old')),
        (('newest', 'new', 'old'), ('other', 'old')),
    ],
)
def test_instances_with_a_common_key_are_linked(
    client_keys: tuple[str, ...], server_keys: tuple[str, ...]
) -> None:
    async def run() -> None:
        address = Address(HOST, await find_port())
        server = PeerServer(address, server_keys, reply)
        link = PeerLink(address, HOST, client_keys)
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            group.start_soon(link.run)
            with anyio.fail_after(3):
                while True:
                    with suppress(PeerUnreachableError):
                        await link.request(Ok(), 1)
                        break
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    anyio.run(run)
