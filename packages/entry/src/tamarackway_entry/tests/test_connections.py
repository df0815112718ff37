"""Tests of which kept connections to a target may carry a request."""

from tamarackway_entry.forwarding._connections import (
    _MAX_REFUSED,
    TargetConnections,
)
from tamarackway_entry.tests.test_connection import FakeTransport
from tamarackway_entry.upstream import Connection


def open_connection() -> Connection:
    connection = Connection()
    connection.connection_made(FakeTransport())
    connection.reusable = True
    return connection


# Guards against an earlier refusal that is taken for the response to the same
# request, sent again.
def test_refused_request_gets_no_connection_again() -> None:
    connections = TargetConnections()
    connections.release(open_connection(), 0)
    connections.record_refusal('r1')
    assert connections.acquire('r1', 5, 0) is None
    assert connections.acquire('', 5, 0) is None
    assert connections.acquire('r2', 5, 0) is not None


def test_connections_end_before_their_refusals_are_forgotten() -> None:
    connections = TargetConnections()
    idle, in_use = open_connection(), open_connection()
    connections.release(idle, 0)
    for number in range(_MAX_REFUSED - 1):
        connections.record_refusal(f'r{number}')
    assert idle.is_open
    assert not connections.is_retired
    connections.record_refusal('last')
    connections.release(in_use, 0)
    assert connections.is_retired
    assert not idle.is_open
    assert not in_use.is_open
