"""Tests of how an instance learns that a caller has left."""

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from tamarackway_entry.serving import Caller, find_caller, find_read_s
from tamarackway_entry.serving._caller import (
    CALLER_EXTENSION,
    READ_EXTENSION,
    ConnectionEnd,
)

RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.close()


def send_and_close(caller: socket.socket) -> None:
    caller.sendall(b'x' * 1000)
    caller.close()


# Guards against an end of the connection that is only noticed once all bytes
# before it are read.
@pytest.mark.parametrize(
    ('leave', 'has_left'),
    [
        (lambda _caller: None, False),
        (lambda caller: caller.sendall(b'x' * 1000), False),
        (send_and_close, True),
        (socket.socket.close, True),
        (lambda caller: caller.shutdown(socket.SHUT_WR), True),
        (reset, True),
    ],
)
def test_end_of_a_connection_is_known_before_it_is_read(
    leave: Callable[[socket.socket], None], *, has_left: bool
) -> None:
    async def ask() -> tuple[bool, bool]:
        loop = asyncio.get_running_loop()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            caller = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        transport, _ = await loop.create_connection(
            asyncio.Protocol, sock=accepted
        )
        transport.pause_reading()
        end = ConnectionEnd(transport)
        before = end.has_come()
        leave(caller)
        after = end.has_come()
        caller.close()
        transport.abort()
        return before, after

    assert asyncio.run(ask()) == (False, has_left)


@pytest.mark.parametrize('is_marked', [False, True])
@pytest.mark.parametrize('has_ended', [False, True])
def test_sends_for_callers_that_have_left_are_counted(
    *, is_marked: bool, has_ended: bool
) -> None:
    caller = find_caller({'extensions': {CALLER_EXTENSION: lambda: has_ended}})
    if is_marked:
        caller.mark_left()
    caller.record_send()
    assert caller.late_sends == int(is_marked or has_ended)


def test_caller_of_another_server_leaves_by_message_only() -> None:
    caller = find_caller({})
    assert isinstance(caller, Caller)
    assert not caller.has_left()
    caller.mark_left()
    assert caller.has_left()


# Guards against requests that count as long overdue on a machine that has been
# suspended, where the clocks of daemon and event loop differ.
@pytest.mark.parametrize(('waited_s', 'read_s'), [(0.25, 999.75), (None, 1000)])
def test_time_of_reading_is_told_by_the_clock_of_the_daemon(
    waited_s: float | None, read_s: float
) -> None:
    async def find() -> float:
        await asyncio.sleep(0)
        extensions = {}
        if waited_s is not None:
            loop = asyncio.get_running_loop()
            extensions[READ_EXTENSION] = loop.time() - waited_s
        return find_read_s({'extensions': extensions}, 1000)

    assert asyncio.run(find()) == pytest.approx(read_s, abs=0.1)
