"""A small deployment on loopback: store, servers, machines and clients.

The machines are processes of this project, started by the command of the
deploy file. The store, the servers and the clients are stand-ins, which run
in this process and speak what the pages say. Standard library only.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_S = 15.0
STOP_S = 8.0
LIMIT_S = 110.0
_BACKLOG = 16
BOUNDS = (
    'seedLag=3s,reuseAfter=2s,stableWindow=3000ms,ack=4000ms,catchUp=4s,'
    'drain=2000ms,grace=6s,lossSlack=200ms,configApply=2000ms,'
    'rollbackSlack=250ms,skewMax=5000ms,budgetRatio=0.2,budgetWindow=10s,'
    'budgetExtra=62,coldMultiplier=1.5,coldSlack=5,evacuate=5000ms,'
    'recover=15s,ttl_max=5s,maxShift=0.15'
)
ZONES = {'boh-a': 'cz-bohemia', 'mor-a': 'cz-moravia', 'sil-a': 'cz-silesia'}


class CannotRunError(Exception):
    """The case could not be set up."""


class CrashError(Exception):
    """The server ends while it runs a request."""


class Record:
    """Writes what happens, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Create the file."""
        self._started_s = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def now_s(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self._started_s

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now_s():9.3f} {text}\n')
        self._file.flush()


@dataclass
class Request:
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """The parameters."""
        return dict(urllib.parse.parse_qsl(self.target.partition('?')[2]))


@dataclass
class Answer:
    """An answer; ``status`` 0 stands for a connection that ended."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')[:-2]
    pairs = (line.split(':', 1) for line in lines)
    return first, {name.lower(): text.strip() for name, text in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request on a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ', 2)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Request(method, target, headers, body)


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {answer.status} Status']
    lines += [f'{name}: {text}' for name, text in answer.headers.items()]
    lines += [f'Content-Length: {len(answer.body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + answer.body


class Store:
    """The platform's store of rows, with a feed of changes."""

    def __init__(self, host: str) -> None:
        """Create an empty store."""
        self.host = host
        self.port = 0
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Listen on another port, and refuse connections on this one."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        await self.start()

    def put(self, table: str, key: str, document: Any, part: str = '') -> None:
        """Write a row."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, part, key), value)])

    def remove(self, table: str, key: str, part: str = '') -> None:
        """Remove a row."""
        self._apply([((table, part, key), None)])

    def _apply(
        self, entries: list[tuple[tuple[str, str, str], str | None]]
    ) -> None:
        self.version += 1
        for row_key, value in entries:
            self.rows[row_key] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        # The cancellation comes when the case has ended.
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                request = await read_request(reader)
                status, document = await self._handle(request)
                document = {
                    'ver': self.version,
                    'now': f'{int(time.monotonic() * 1000)}ms',
                    **document,
                }
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': '1',
                }
                body = json.dumps(document).encode()
                writer.write(encode_answer(Answer(status, headers, body)))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        query = request.query
        if request.path == '/rows-tx':
            return self._transact(json.loads(request.body))
        if request.path == '/rows-get':
            wanted = (query['table'], query.get('part', ''))
            rows = [
                self._encode(row_key)
                for row_key in sorted(self.rows)
                if row_key[:2] == wanted
                and row_key[2] >= query.get('from', '')
                and self.rows[row_key][1] is not None
            ]
            return 200, {'rows': rows, 'hasMore': False}
        if request.path == '/rows-feed':
            return await self._feed(query)
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query['table'], int(query['after'])
        until_s = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while True:
            found = sorted(
                (version, row_key)
                for row_key, (version, _) in self.rows.items()
                if row_key[0] == table and version > after
            )
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {'rows': [self._encode(key) for _, key in found]}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, document: Any) -> tuple[int, dict[str, Any]]:
        def row_key(entry: dict[str, str]) -> tuple[str, str, str]:
            return entry['table'], entry.get('part', ''), entry['key']

        for entry in document.get('expectedRev', []):
            version, value = self.rows.get(row_key(entry), (0, None))
            if (version if value is not None else 0) != entry['ver']:
                return 412, {'rows': [self._encode(row_key(entry))]}
        self._apply(
            [
                (row_key(entry), entry['value'])
                for entry in document.get('writes', [])
            ]
            + [(row_key(entry), None) for entry in document.get('remove', [])]
        )
        return 200, {}

    def _encode(self, row_key: tuple[str, str, str]) -> dict[str, Any]:
        table, part, key = row_key
        version, value = self.rows.get(row_key, (0, None))
        row = {'table': table, 'part': part, 'key': key, 'ver': version}
        return row | ({'deleted': True} if value is None else {'value': value})


class Server:
    """A server of a service, which registers itself in the store.

    ``behave`` answers a request that expects this server. It raises
    :class:`CrashError` to end the server in the middle of it.
    """

    _born_ms = itertools.count(int(time.time() * 1000))

    def __init__(
        self, rig: 'Rig', name: str, service: str, zone: str = 'boh-a'
    ) -> None:
        """Create a server that does not listen yet."""
        self.rig = rig
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = 8
        self.cold_left = '0ms'
        self.state = 'ready'
        self.behave: Callable[[Request], Awaitable[Answer]] = self.run
        self.is_up = False
        self.started_s = 0.0
        self.born = 0
        self._sequence = 0
        self.host = rig.next_host()
        self.port = 0
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._waiting: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, *, register: bool = True) -> None:
        """Start a new incarnation under the same name and address."""
        self._listener = socket.create_server(
            (self.host, self.port), backlog=_BACKLOG
        )
        self._server = await asyncio.start_server(
            self._serve, sock=self._listener, backlog=_BACKLOG
        )
        self.port = self._listener.getsockname()[1]
        self.born = next(self._born_ms)
        self._sequence = 0
        self.is_up = True
        self.started_s = time.monotonic()
        self.rig.record.add(f'server {self.name} starts, born={self.born}')
        if register:
            self.register()

    def register(self) -> None:
        """Write the entry of this server."""
        self._sequence += 1
        self.rig.store.put(
            'servers',
            self.name,
            {
                'address': f'{self.host}:{self.port}',
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': self.state,
                    'seq': self._sequence,
                    'coldLeft': self.cold_left,
                },
            },
        )
        self.rig.record.add(
            f'entry of {self.name}: born={self.born} state={self.state} '
            f'coldLeft={self.cold_left}'
        )

    def crash(self) -> None:
        """End the process: its port refuses, its connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.rig.record.add(f'server {self.name} crashes')

    def lose_power(self) -> None:
        """Go silent: connections hang, old ones and new ones."""
        if not self.is_up or self._listener is None:
            return
        self.is_up = False
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        # Once the queue of new connections is full, opening packets are lost.
        for _ in range(_BACKLOG + 2):
            opened = socket.socket()
            opened.setblocking(False)
            opened.connect_ex((self.host, self.port))
            self._waiting.append(opened)
        self.rig.record.add(f'server {self.name} loses power')

    def end_silence(self) -> None:
        """Free the port of a server that lost power, to start it again."""
        if self._server is not None:
            self._server.close()
        for opened in self._waiting:
            opened.close()
        self._waiting.clear()

    async def run(self, request: Request) -> Answer:
        """Run a request at once."""
        return self.complete(request)

    def complete(self, request: Request, **headers: str) -> Answer:
        """Return the answer of a run."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        return Answer(
            200,
            {
                'Request-Id': request.headers.get('request-id', ''),
                'Response-Stamp': f'stamp-{self.name}',
                'Backend-Load': f'1,0,{self.slots},100',
                **named,
            },
            b'answer of ' + self.name.encode(),
        )

    def refuse(self, request: Request, **headers: str) -> Answer:
        """Return the answer to a request that is not run."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        return Answer(
            503,
            {
                'Request-Id': request.headers.get('request-id', ''),
                'Not-Executed': '1',
                **named,
            },
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self._answer(request)
                writer.write(encode_answer(answer))
                await writer.drain()
        except CrashError:
            self.crash()
        except (OSError, EOFError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _answer(self, request: Request) -> Answer:
        expected = request.headers.get('expect-instance', self.name)
        if expected != self.name:
            return Answer(421, {'Not-Executed': '1', 'Instance-Id': self.name})
        return await self.behave(request)


class Machine:
    """A process of this project, started as the deploy file says."""

    def __init__(self, rig: 'Rig', name: str, zone: str) -> None:
        """Choose addresses and write the settings file."""
        self.rig = rig
        self.name = name
        self.zone = zone
        self.host = rig.next_host()
        self.front, self.ready, self.control, self.directory = rig.free_ports(
            self.host, 4
        )
        self.internal = rig.free_ports(self.host, 1)[0]
        self.settings = rig.folder / f'{name}.conf'
        self.log = rig.folder / f'{name}.log'
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0

    def write_settings(self) -> None:
        """Write the settings file in the platform's format."""
        region = ZONES[self.zone]
        lines = [
            f'nodeName={self.name}',
            'role=entry',
            'machineClass=front',
            'serves=front,directory',
            f'ip={self.host}',
            f'zone={self.zone}',
            f'region={region}',
            *(f'zones.{zone}={place}' for zone, place in ZONES.items()),
            f'listen.front={self.host}:{self.front}',
            f'listen.ready={self.host}:{self.ready}',
            f'listen.control={self.host}:{self.control}',
            f'listen.directory={self.host}:{self.directory}',
            f'internalPorts={self.internal},{self.internal}',
            'seeds=',
            'bootstrap=true',
            'limits.cpuShare=0.86',
            'limits.cores=1',
            'limits.memoryMb=300',
            'limits.maxFds=4100',
            'limits.linkMbps=1000.0',
            'discovery=platform',
            'entry=directory',
            'heartbeat=1500ms',
            'contracts=base,drain,config,cost,retry,recover,places,platform',
            'tolerate.machines=1',
            'tolerate.zones=1',
            'tolerate.regions=1',
            f'bounds={BOUNDS}',
            f'platform.address={self.rig.store.host}:{self.rig.store.port}',
            'platform.form=table',
            'platform.writesPerS=400',
            'platform.readsPerS=2000',
            'platform.history=20s',
        ]
        self.settings.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        command = deploy['roles']['entry']['run'].split()
        names = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in names if name in os.environ
        }
        environment |= {
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'TAMARACKWAY_CONFIG': str(self.settings),
        }
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_s = time.monotonic()
        self.rig.record.add(f'machine {self.name} starts')

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is None:
            raise CannotRunError(f'{self.name} was not started')
        name = signal.Signals(number).name
        self.rig.record.add(f'machine {self.name} gets {name}')
        self.process.send_signal(number)

    async def wait_ended(self, timeout_s: float = STOP_S) -> None:
        """Wait until the process has ended."""
        if self.process is not None:
            await asyncio.wait_for(self.process.wait(), timeout_s)
            self.rig.record.add(f'machine {self.name} has ended')

    async def wait_ready(self) -> None:
        """Wait until the machine says that it is ready."""
        until_s = time.monotonic() + START_S
        while time.monotonic() < until_s:
            address = (self.host, self.ready)
            answer = await exchange(address, 'GET', '/readiness', {}, b'', 1.0)
            if answer.status == 200:
                self.rig.record.add(f'machine {self.name} is ready')
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} does not become ready')

    async def look_up(self, region: str, name: str = 'h.example') -> list[str]:
        """Return the addresses that the directory names."""
        path = f'/lookup?name={name}&region={region}&zone=x'
        address = (self.host, self.directory)
        answer = await exchange(address, 'GET', path, {}, b'', 1.0)
        if answer.status != 200:
            return []
        addresses: list[str] = json.loads(answer.body)['addresses']
        return addresses


async def exchange(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
    source: str = '',
) -> Answer:
    """Send a request on a new connection and return its answer.

    :param source: address of the client, if it has one of its own.
    """
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, local_addr=(source, 0) if source else None
            )
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body or method in {'POST', 'PUT'}:
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join([*lines, '', '']).encode('latin-1')
            writer.write(head + body)
            first, found = await read_head(reader)
            length = int(found.get('content-length', '0'))
            content = await reader.readexactly(length)
            return Answer(int(first.split(' ')[1]), found, content)
    except (OSError, EOFError, TimeoutError, ValueError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.transport.abort()


class Rig:
    """A deployment with its files, which ends all that it started."""

    def __init__(self, folder: Path) -> None:
        """Create a deployment whose record is kept in a folder."""
        self.record = Record(folder / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._block = random.randrange(16, 250)
        self._hosts = itertools.count(1)
        self.store = Store(self.next_host())
        self.servers: list[Server] = []
        self.machines: list[Machine] = []
        self._ids = itertools.count(1)

    def next_host(self) -> str:
        """Return a loopback address of its own."""
        number = next(self._hosts)
        return f'127.{self._block}.{os.getpid() % 250 + 1}.{number}'

    def free_ports(self, host: str, count: int) -> list[int]:
        """Return ports that are free on an address."""
        sockets = [socket.socket() for _ in range(count)]
        for opened in sockets:
            opened.bind((host, 0))
        ports: list[int] = [opened.getsockname()[1] for opened in sockets]
        for opened in sockets:
            opened.close()
        return ports

    async def add_server(
        self, name: str, service: str, zone: str = 'boh-a', slots: int = 8
    ) -> Server:
        """Start a server."""
        server = Server(self, name, service, zone)
        server.slots = slots
        await server.start()
        self.servers.append(server)
        return server

    async def add_machine(self, name: str, zone: str = 'boh-a') -> Machine:
        """Start a machine."""
        machine = Machine(self, name, zone)
        self.machines.append(machine)
        await machine.start()
        return machine

    def configure(
        self, version: int, routes: list[dict[str, Any]], **service: Any
    ) -> None:
        """Write a configuration; ``service`` holds for all services."""
        policy = {
            'healthPath': '/health',
            'maxConns': 390,
            'protocol': 'h1',
            'tls': False,
            'coldStart': '3s',
            'coldPerS': 6.6,
            **service,
        }
        names = {route['spec']['service'] for route in routes}
        limits = {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        }
        resources = [
            *routes,
            *(
                {
                    'entryType': 'services',
                    'metadata': {'name': name},
                    'spec': policy,
                }
                for name in sorted(names)
            ),
            {'entryType': 'limits', 'metadata': {}, 'spec': limits},
        ]
        document = {'version': version, 'resources': resources}
        self.store.put('op', 'config', document)
        self.record.add(f'configuration {version} is acknowledged')

    async def send(
        self,
        machine: Machine,
        method: str,
        target: str,
        body: bytes = b'',
        timeout_ms: int = 2000,
        source: str = '',
        **headers: str,
    ) -> tuple[str, Answer]:
        """Send one client attempt; return its id and its answer."""
        request_id = f'{next(self._ids):08x}'
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        sent = {
            'Host': 'h.example',
            'Request-Id': request_id,
            'Deadline-Ms': str(timeout_ms),
            **named,
        }
        self.record.add(
            f'client sends {request_id} {method} {target} to {machine.name} '
            f'{named}'
        )
        address = (machine.host, machine.front)
        timeout_s = timeout_ms / 1000 + 1
        answer = await exchange(
            address, method, target, sent, body, timeout_s, source
        )
        self.record.add(f'client gets {answer.status} for {request_id}')
        return request_id, answer

    async def close(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for server in self.servers:
            if server.is_up:
                server.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(
    prefix: str,
    kind: str,
    service: str,
    timeout: str = '1000ms',
    homes: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'entryType': 'routes',
        'metadata': {'name': f'r-{prefix.strip("/")}'},
        'spec': {
            'host': 'h.example',
            'prefix': prefix,
            'kind': kind,
            'timeout': timeout,
            'targetLatency': '250ms',
            'priority': 1,
            'service': service,
            'maxAttempts': 2,
            'sessionAffinity': False,
            'homeRegions': list(homes),
        },
    }


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(
    folder: Path, play: Callable[[Rig], Coroutine[Any, Any, bool]]
) -> None:
    """Play a case and exit with its result.

    :param play: returns whether the rule held.
    """
    sys.exit(asyncio.run(_play(folder, play)))


async def _play(
    folder: Path, play: Callable[[Rig], Coroutine[Any, Any, bool]]
) -> int:
    rig = Rig(folder)
    try:
        async with asyncio.timeout(LIMIT_S):
            await rig.store.start()
            is_held = await play(rig)
    except (CannotRunError, OSError, TimeoutError) as error:
        rig.record.add(f'the case could not run: {error!r}')
        sys.stderr.write(f'the case could not run: {error!r}\n')
        return NOT_RUN
    finally:
        await rig.close()
    result = 'held' if is_held else 'broken'
    rig.record.add(f'the rule was {result}')
    sys.stdout.write(f'the rule was {result}\n')
    return HELD if is_held else BROKEN
