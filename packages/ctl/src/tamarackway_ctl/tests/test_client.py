"""Tests of the client against faulty entry instances."""

import itertools
import socket
import threading
from collections.abc import Generator, Iterable
from contextlib import contextmanager, suppress

import pytest

from tamarackway_ctl.client import _client as client_module
from tamarackway_ctl.client._client import AdminClient
from tamarackway_ctl.client._errors import ApiError, ExitCode

HOST = '127.0.0.1'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


@contextmanager
def serve_once(parts: Iterable[bytes]) -> Generator[str]:
    """Answer one connection with some parts, and return the address."""

    def serve() -> None:
        connection, _ = listener.accept()
        with connection, suppress(OSError):
            connection.recv(65_536)
            for part in parts:
                connection.sendall(part)

    with socket.create_server((HOST, 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        try:
            yield f'{HOST}:{listener.getsockname()[1]}'
        finally:
            thread.join()


# Guards against an operator who waits for ever, or sees a traceback, since the
# response of an instance has no end or is none.
@pytest.mark.parametrize(
    'parts',
    [
        [b'no response\r\n\r\n'],
        [HEAD + b'Content-Length: 9\r\n\r\n{}'],
        [HEAD + b'Content-Length: 2\r\n\r\n[]'],
        [HEAD + b'Content-Length: 1\r\n\r\n{'],
        itertools.chain(
            [CHUNKED], itertools.repeat(b'400\r\n%s\r\n' % (b' ' * 1024))
        ),
    ],
    ids=['garbage', 'cut', 'list', 'invalid', 'endless'],
)
def test_faulty_response_is_reported(
    monkeypatch: pytest.MonkeyPatch, parts: Iterable[bytes]
) -> None:
    monkeypatch.setattr(client_module, '_MAX_RESPONSE_BYTES', 1_000_000)
    with serve_once(parts) as entry, pytest.raises(ApiError) as raised:
        AdminClient(entry, 'token').get_status()
    assert raised.value.exit_code == ExitCode.UNREACHABLE


# Guards against a response without a valid status, which would be shown as if
# the instance had done what was asked, or had refused it.
@pytest.mark.parametrize('status', ['000', '099', '101', '600', '999'])
def test_response_without_a_valid_status_is_reported(status: str) -> None:
    head = HEAD.replace(b'200', status.encode())
    parts = [head + b'Content-Length: 2\r\n\r\n{}']
    with serve_once(parts) as entry, pytest.raises(ApiError) as raised:
        AdminClient(entry, 'token').get_status()
    assert raised.value.exit_code == ExitCode.UNREACHABLE


def test_sound_response_is_returned() -> None:
    with serve_once([HEAD + b'Content-Length: 2\r\n\r\n{}']) as entry:
        assert not AdminClient(entry, 'token').get_status()
