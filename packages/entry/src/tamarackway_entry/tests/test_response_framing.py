"""Tests of responses that end early or whose end cannot be told."""

import asyncio
from collections.abc import Iterable

import pytest

from tamarackway_entry.tests.test_connection import FakeTransport
from tamarackway_entry.upstream import (
    Connection,
    ConnectionLostError,
    InvalidResponseError,
    Response,
)

HEAD = b'HTTP/1.1 200 OK\r\nid: own\r\n'
HEAD_1_0 = b'HTTP/1.0 200 OK\r\nid: own\r\n'
LENGTH = b'Content-Length: 2\r\n\r\nok'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'\r\n1;x="a;b"\r\no\r\n01\r\nk\r\n0;y\r\nid: other\r\n\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nid: own\r\nLink: x\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
OTHER = b'HTTP/1.1 200 OK\r\nid: other\r\n' + LENGTH
WHOLE = [
    HEAD + LENGTH,
    HEAD_1_0 + LENGTH,
    HEAD + b'Content-Length: 2\r\nX: y\r\n\r\nok',
    HEAD + CHUNKED + CHUNKS,
    HEAD + CHUNKED + b'X: y\r\n' + CHUNKS,
    HINTS + HEAD + LENGTH,
    CONTINUE + HINTS + HEAD + LENGTH,
    OTHER + HEAD + LENGTH,
    OTHER + HINTS + HEAD + CHUNKED + CHUNKS,
]


def matches(response: Response) -> bool:
    return response.find(b'id') in {b'own', None}


async def exchange(parts: Iterable[bytes], end: Exception | None) -> Response:
    """Return the response in parts of a stream that ends.

    :param parts: bytes that arrive one after another.
    :param end: error that ends the stream, or None for a clean end.
    """
    connection = Connection()
    connection.connection_made(FakeTransport())
    response = asyncio.ensure_future(connection.exchange(b'ask', matches))
    await asyncio.sleep(0)
    for part in parts:
        connection.data_received(part)
    if end is None:
        connection.eof_received()
    connection.connection_lost(end)
    return await asyncio.wait_for(response, 1)


@pytest.mark.parametrize('stream', WHOLE)
def test_whole_response_is_returned_however_it_is_split(stream: bytes) -> None:
    async def run() -> None:
        for cut in range(len(stream)):
            response = await exchange((stream[:cut], stream[cut:]), None)
            assert (response.status, response.body) == (200, b'ok')
        single = await exchange((bytes([byte]) for byte in stream), None)
        assert single.body == b'ok'

    asyncio.run(run())


# Guards against a response that ends early, in its head, in a chunk's head, in
# a trailer or after an informational response, and is taken for a whole one.
@pytest.mark.parametrize('end', [None, ConnectionResetError('reset')])
@pytest.mark.parametrize('stream', WHOLE)
def test_response_that_ends_early_is_an_error(
    stream: bytes, end: Exception | None
) -> None:
    async def run() -> list[int]:
        accepted = []
        for cut in range(len(stream)):
            outcome = exchange((stream[:cut],), end)
            results = await asyncio.gather(outcome, return_exceptions=True)
            if not isinstance(results[0], ConnectionLostError):
                accepted.append(cut)
        return accepted

    assert not asyncio.run(run())


# The end of the stream ends a body without a length only after a whole head.
@pytest.mark.parametrize('head', [HEAD, HEAD_1_0, HINTS + HEAD])
def test_body_without_length_is_whole_at_a_clean_end_only(head: bytes) -> None:
    async def run() -> None:
        stream = head + b'\r\n'
        for cut in range(len(stream)):
            with pytest.raises(ConnectionLostError):
                await exchange((stream[:cut],), None)
        for body in (b'', b'o', b'ok'):
            response = await exchange((stream + body,), None)
            assert (response.status, response.body) == (200, body)
            with pytest.raises(ConnectionLostError):
                await exchange((stream + body,), ConnectionResetError('reset'))

    asyncio.run(run())


LENGTHS = [
    b'Content-Length: 2\r\nContent-Length: 2\r\n',
    b'Content-Length: 2\r\nContent-Length: 1\r\n',
    b'Content-Length: 1\r\nContent-Length: 2\r\n',
    *(
        b'Content-Length: %s\r\n' % length
        for length in (
            b'',
            b'2, 2',
            b'1 2',
            b'+2',
            b'-2',
            b'0x2',
            b'2.0',
            b'18446744073709551618',
            b'9' * 5000,
            '\N{ARABIC-INDIC DIGIT TWO}'.encode(),
        )
    ),
    b'Content-Length : 2\r\n',
    b'Content-Length:\r\n 2\r\n',
    b'Content-Length: 1\r\n 2\r\n',
    b'X: a\r\n b\r\nContent-Length: 2\r\n',
    b'X: a\nContent-Length: 2\r\n',
    b'X: a\rContent-Length: 2\r\n',
    b'X: a\r\r\nContent-Length: 2\r\n',
    b'X: a\0\r\nContent-Length: 2\r\n',
]
ENCODINGS = [
    b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: chunked\r\nContent-Length: 2\r\n',
    CHUNKED + CHUNKED,
    *(
        b'Transfer-Encoding: %s\r\n' % encoding
        for encoding in (
            b'',
            b'chunked, chunked',
            b'gzip, chunked',
            b'chunked, gzip',
            b'gzip',
            b'identity',
            b'xchunked',
        )
    ),
]
SIZES = [
    b'',
    b'+2',
    b'-2',
    b'0x2',
    b'2 2',
    b'10000000000000002',
    b'2\n',
    b'g',
]


# Guards against a body whose end or coding is not known for certain.
@pytest.mark.parametrize(
    'stream',
    [
        *(HEAD + length + b'\r\nok' for length in LENGTHS),
        *(HEAD + encoding + CHUNKS for encoding in ENCODINGS),
        *(
            HEAD + CHUNKED + b'\r\n%s\r\nok\r\n0\r\n\r\n' % size
            for size in SIZES
        ),
        HEAD + CHUNKED + b'\r\n2\r\nok!\r\n0\r\n\r\n',
        HEAD + CHUNKED + b'\r\n1\r\nok\r\n0\r\n\r\n',
        HEAD + b'X: a\r\n\nok',
        HEAD.replace(b'\r', b'') + b'Content-Length: 2\n\nok',
        b'HTTP/1.1 000 OK\r\nid: own\r\n' + LENGTH,
        b'HTTP/1.1 099 OK\r\nid: own\r\n' + LENGTH,
        b'HTTP/1.1 600 OK\r\nid: own\r\n' + LENGTH,
        b'HTTP/1.1 2000 OK\r\nid: own\r\n' + LENGTH,
        b'ok',
    ],
    ids=repr,
)
def test_ambiguous_framing_is_an_error(stream: bytes) -> None:
    async def run() -> None:
        for part_bytes in (1, len(stream)):
            starts = range(0, len(stream), part_bytes)
            parts = [stream[start : start + part_bytes] for start in starts]
            with pytest.raises(InvalidResponseError):
                await exchange(parts, None)

    asyncio.run(run())


# Guards against a trailer that passes for a header, such as one that says that
# the request did not run.
def test_trailers_are_no_headers() -> None:
    stream = HEAD + CHUNKED + CHUNKS.replace(b'id: other', b'refused: 1')
    response = asyncio.run(exchange((stream,), None))
    assert response.body == b'ok'
    assert response.find(b'refused') is None
