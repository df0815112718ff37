"""Steps for invalid input, unauthenticated connections and explanations."""

import os
import socket
from pathlib import Path

import anyio
from pytest_bdd import parsers, then, when
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from tamarackway_bench.fleet._settings import PEER_KEY, render_settings
from tamarackway_bench.tests.world import LOOK_UP, REPORT, World

NONCE_BYTES = 32
OLD_KEY = '01700000-0000-7000-8000-000000000000'


@when(parsers.parse('a bad request is sent: {kind}'))
def send_invalid_request(world: World, kind: str) -> None:
    look_up = f'/v1/services/{LOOK_UP}/x'
    report = f'/v1/services/{REPORT}/x'
    requests: dict[str, tuple[str, str, dict[str, str], bytes]] = {
        'unknown service': ('GET', '/v1/services/none/x', {}, b''),
        'unknown path': ('GET', '/v1/none', {}, b''),
        'large body': ('POST', look_up, {}, b'x' * 2_000_000),
        'bad deadline': (
            'GET',
            look_up,
            {'x-request-deadline-ms': 'soon'},
            b'',
        ),
        'report, no key': ('POST', report, {}, b''),
        'report, bad key': ('POST', report, {'idempotency-key': 'x'}, b''),
        'report, old key': (
            'POST',
            report,
            {'idempotency-key': OLD_KEY},
            b'',
        ),
    }
    method, path, headers, body = requests[kind]
    world.send(world.entry_address(1), path, method, headers, body)


@when("a stranger sends garbage to the peers' address")
def send_random_bytes(world: World) -> None:
    entry = world.fleet.layout.entries[0]
    for payload in (b'\x00' * 100, os.urandom(1000), b'GET / HTTP/1.1\r\n\r\n'):
        with socket.create_connection((
            entry.peers.host,
            entry.peers.port,
        )) as client_socket:
            client_socket.sendall(payload)


@when("a stranger connects to the peers' address without a key")
def connect_without_key(world: World) -> None:
    entry = world.fleet.layout.entries[0]
    world.context['frames'] = world.call(
        _connect_without_key, entry.peers.address
    )


@then('the stranger learnt nothing')
def learnt_nothing(world: World) -> None:
    frames = world.context['frames']
    assert [len(frame) for frame in frames] == [NONCE_BYTES]


@then('the log tells of the stranger')
def log_tells(world: World) -> None:
    assert 'peers: Unauthenticated connection from' in world.fleet.read_log(
        world.entry_name(1)
    )


@when('the plan is asked for with a wrong token')
def send_wrong_token(world: World) -> None:
    headers = {'authorization': 'Bearer wrong'}
    world.send(world.admin_address(), '/v1/plan', 'GET', headers)


@then('callers do not reach the administration')
def check_admin_not_exposed(world: World) -> None:
    headers = {'authorization': f'Bearer {world.fleet.token}'}
    for path in ('/v1/plan', '/v1/status', '/metrics'):
        response = world.send(world.entry_address(1), path, 'GET', headers)
        assert response.status == 404


@then(
    parsers.parse('the last reply has status {status:d} and error {error}'),
)
def check_error(world: World, status: int, error: str) -> None:
    document = world.last_response.json()
    assert (world.last_response.status, document['error']) == (status, error)
    assert document['remedy']


@when('an entry instance is started without platform and peers')
def start_isolated_entry(world: World) -> None:
    layout = world.fleet.layout
    world.call(world.fleet.kill, world.entry_name(6))
    entry = layout.entries[5]
    text = render_settings(layout, entry)
    for node in layout.platform.values():
        text = text.replace(node.relay_address, '127.0.0.1:9')
    text = text.replace(PEER_KEY, 'another-key-that-no-peer-has-0123456789')
    lines = [line for line in text.splitlines() if 'seeds' not in line]
    path = Path(world.folder / 'alone.toml')
    path.write_text('\n'.join(lines), encoding='utf-8')
    processes = world.fleet._processes  # ruff: ignore[private-member-access]
    processes.start(
        entry.name,
        'tamarackway_entry',
        [
            'run',
            '--settings',
            str(path),
        ],
    )


@then('it is not ready and says why')
def check_not_ready(world: World) -> None:
    address = world.fleet.layout.entries[5].callers.address
    world.wait_until(lambda: world.send(address, '/livez').status == 200, 10)
    response = world.send(address, '/readyz')
    assert response.status == 503
    assert 'no plan was learnt' in response.json()['detail']
    refused = world.send(address, f'/v1/services/{LOOK_UP}/x')
    assert refused.json()['error'] == 'no-plan'


@when(parsers.parse('a look-up is sent to entry instance {number:d}'))
def send_look_up(world: World, number: int) -> None:
    world.send(world.entry_address(number), f'/v1/services/{LOOK_UP}/x')


@then('another entry instance explains it with the rows of the sheet')
def check_explanation(world: World) -> None:
    explanation = world.run_ctl(
        'explain', world.last_response.request_id, entry=4
    )
    assert explanation.returncode == 0, explanation.stderr
    assert (
        'row status-lookup: lookup status-lookup 2000 ms' in explanation.stdout
    )
    assert 'may be served from' in explanation.stdout


async def _connect_without_key(address: str) -> list[bytes]:
    frames: list[bytes] = []
    async with connect(f'ws://{address}/', proxy=None) as connection:
        await connection.send(os.urandom(NONCE_BYTES))
        await connection.send(os.urandom(NONCE_BYTES))
        try:
            with anyio.move_on_after(5):
                while True:
                    frame = await connection.recv()
                    assert isinstance(frame, bytes)
                    frames.append(frame)
        except ConnectionClosed:
            return frames
    return frames
