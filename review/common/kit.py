"""Stand-ins for the platform, its servers and its clients, on loopback.

Only the standard library is used. The daemons of the project are started as
separate processes with the ``run`` command of ``deploy/system.toml``; all
stand-ins live in the process of the script that uses this module.
"""

import asyncio
import base64
import contextlib
import json
import operator
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import weakref
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# Python itself exits with 1 if a script fails, so run.sh turns 3 into 1.
HELD, BROKEN, NOT_RUN = 0, 3, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = '127.0.0.1'
ZONES = {'east-a': 'east', 'east-b': 'east', 'west-a': 'west'}
BOUNDS = (
    'seedLag=3s,reuseAfter=2s,stableWindow=3000ms,ack=4000ms,catchUp=4s,'
    'drain=2000ms,grace=6s,lossSlack=200ms,configApply=2000ms,'
    'rollbackSlack=250ms,skewMax=5000ms,budgetRatio=0.2,budgetWindow=10s,'
    'budgetExtra=62,coldMultiplier=1.5,coldSlack=5,evacuate=5000ms,'
    'recover=15s,ttl_max=5s,maxShift=0.15'
)


WRITERS = weakref.WeakSet()  # closed at the end of a case


class CannotRunError(Exception):
    """The case could not be set up, so nothing was shown."""


def free_ports(count, hosts=(HOST,)):
    """Return ports that are free now at all of the addresses."""
    sockets, ports = [], []
    try:
        while len(ports) < count:
            first = socket.socket()
            sockets.append(first)
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts[1:]:
                    other = socket.socket()
                    sockets.append(other)
                    other.bind((host, port))
            except OSError:
                continue
            ports.append(port)
        return ports
    finally:
        for item in sockets:
            item.close()


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.start_s = time.monotonic()
        self.file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self(f'TROUBLE={int(TROUBLE)}')

    def __call__(self, text):
        elapsed_s = time.monotonic() - self.start_s
        self.file.write(f'{elapsed_s:8.3f} {text}\n')
        self.file.flush()


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


class Store:
    """The platform's store: rows, transactions and the change feed."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.port = free_ports(1)[0]
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def put(self, table, key, document):
        """Write as the operator or a server does."""
        content = base64.b64encode(json.dumps(document).encode()).decode()
        self.apply([(table, '', key, content)])

    def remove(self, table, key):
        if (table, '', key) in self.rows:
            self.apply([(table, '', key, None)])

    def apply(self, changes):
        self.version += 1
        for table, part, key, content in changes:
            row = {
                'table': table,
                'part': part,
                'key': key,
                'ver': self.version,
            }
            if content is None:
                self.rows.pop((table, part, key), None)
                row['deleted'] = True
            else:
                row['value'] = content
                self.rows[table, part, key] = row
            self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        WRITERS.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                status, document = await self.answer(method, target, body)
                content = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        await asyncio.sleep(0.003)
        now = f'{int(time.monotonic() * 1000)}ms'
        if (method, parts.path) == ('POST', '/rows-tx'):
            return self.transact(json.loads(body), now)
        if parts.path == '/rows-get':
            rows = sorted(
                (
                    row
                    for row in self.rows.values()
                    if row['table'] == query['table']
                    and row['part'] == query.get('part', '')
                    and row['key'] >= query.get('from', '')
                ),
                key=lambda row: row['key'].encode(),
            )
            limit = min(int(query.get('limit', 500)), 500)
            return 200, {
                'rows': rows[:limit],
                'hasMore': len(rows) > limit,
                'ver': self.version,
                'now': now,
            }
        if parts.path == '/rows-feed':
            return 200, await self.feed(query, now)
        return 404, {}

    def transact(self, document, now):
        def key_of(row):
            return row['table'], row.get('part', ''), row['key']

        if any(
            row['table'] in {'op', 'servers'}
            for row in [
                *document.get('writes', ()),
                *document.get('remove', ()),
            ]
        ):
            return 403, {}
        for row in document.get('expectedRev', ()):
            known = self.rows.get(key_of(row), {'ver': 0})
            if known['ver'] != row['ver']:
                return 412, {'rows': [], 'ver': self.version, 'now': now}
        self.apply([
            *(
                (*key_of(row), row['value'])
                for row in document.get('writes', ())
            ),
            *((*key_of(row), None) for row in document.get('remove', ())),
        ])
        return 200, {'ver': self.version, 'now': now}

    async def feed(self, query, now):
        after = int(query['after'])
        end_s = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            latest = {}
            for row in self.log:
                if row['ver'] > after and row['table'] == query['table']:
                    latest[row['part'], row['key']] = row
            left_s = end_s - time.monotonic()
            if latest or left_s <= 0:
                rows = sorted(latest.values(), key=operator.itemgetter('ver'))
                return {'rows': rows, 'ver': self.version, 'now': now}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


class Backend:
    """A sound server of one service."""

    def __init__(
        self,
        store,
        record,
        name,
        service,
        zone,
        work_s=0.1,
        slots=8,
        straggler_s=0,
    ):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.work_s = work_s
        self.straggler_s = straggler_s or work_s  # each sixth run
        self.slots, self.queue = slots, 3 * slots
        self.port = free_ports(1)[0]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = 0
        self.runs = []
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.tasks.add(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put(
                'servers',
                self.name,
                {
                    'address': f'{HOST}:{self.port}',
                    'born': self.born,
                    'info': {
                        'service': self.service,
                        'version': 'v1',
                        'zone': self.zone,
                        'slots': self.slots,
                    },
                    'status': {
                        'state': 'ready',
                        'seq': self.sequence,
                        'coldLeft': '0ms',
                    },
                },
            )
            await asyncio.sleep(1.5)

    async def serve(self, reader, writer):
        WRITERS.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                answer = await self.handle(first, headers, body, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, first, headers, body, reader):
        request_id = headers.get('request-id', '')
        method, target, _ = first.split(' ')
        echo = f'Request-Id: {request_id}\r\nInstance-Id: {self.name}\r\n'
        load = f'Backend-Load: {self.busy + 1},0,{self.slots},100\r\n'
        if target == '/health':
            head = f'HTTP/1.1 200 OK\r\n{echo}{load}'
            return f'{head}Content-Length: 0\r\n\r\n'.encode()
        if headers.get('expect-instance', self.name) != self.name:
            head = f'HTTP/1.1 421 Misdirected Request\r\n{echo}'
            return f'{head}Content-Length: 0\r\n\r\n'.encode()
        if self.busy >= self.slots + self.queue:
            return (
                f'HTTP/1.1 503 Full\r\n{echo}{load}Not-Executed: 1\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        self.busy += 1
        self.runs.append((request_id, method, target, body))
        self.record(
            f'{self.name} runs {request_id} {method} {target} '
            f'body of {len(body)} bytes',
        )
        work_s = self.work_s if len(self.runs) % 6 else self.straggler_s
        work = asyncio.create_task(asyncio.sleep(work_s))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if gone.done():
                self.record(
                    f'{self.name} drops {request_id}: connection closed'
                )
                return None
        finally:
            self.busy -= 1
            work.cancel()
            if not gone.done():
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
        text = f'done {request_id}'.encode()
        return (
            f'HTTP/1.1 200 OK\r\n{echo}{load}Response-Stamp: s-{request_id}\r\n'
            f'Content-Length: {len(text)}\r\n\r\n'
        ).encode() + text


def make_config(version, routes, services):
    """Return a configuration as the operator writes it."""
    resources = [
        {
            'entryType': 'routes',
            'metadata': {'name': f'r-{service}'},
            'spec': {
                'host': 'h.example',
                'prefix': prefix,
                'kind': kind,
                'timeout': timeout,
                'targetLatency': '300ms',
                'priority': 1,
                'service': service,
                'maxAttempts': 2,
                'sessionAffinity': True,
                'homeRegions': [],
            },
        }
        for prefix, kind, service, timeout in routes
    ]
    resources.extend(
        {
            'entryType': 'services',
            'metadata': {'name': name},
            'spec': {
                'healthPath': '/health',
                'maxConns': 390,
                'protocol': 'h1',
                'tls': False,
                'coldStart': '3s',
                'coldPerS': 6.6,
            },
        }
        for name in services
    )
    resources.append({
        'entryType': 'limits',
        'metadata': {},
        'spec': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    })
    return {'version': version, 'baseVersion': 0, 'resources': resources}


class Daemon:
    """A process of the project's program on one machine."""

    def __init__(self, folder, store, number, zone):
        self.name = f'front-{zone}-{number}'
        # Addresses of the machines differ; ports are the same on all.
        self.ip = f'127.0.0.{10 + number}'
        self.zone = zone
        self.folder = Path(folder)
        self.store = store
        self.process = None
        self.settings = self.folder / f'{self.name}.conf'

    def write_settings(self, ports, bootstrap=True, daemons=()):
        front, ready, control, directory, internal, metrics = ports
        self.front, self.ready_port, self.directory = front, ready, directory
        self.metrics = metrics
        seeds = ','.join(f'{item.ip}:{control}' for item in daemons)
        lines = [
            f'nodeName={self.name}',
            'role=entry',
            'machineClass=front',
            'serves=front,directory',
            f'ip={self.ip}',
            f'zone={self.zone}',
            f'region={ZONES[self.zone]}',
            *(f'zones.{zone}={region}' for zone, region in ZONES.items()),
            f'listen.front={self.ip}:{front}',
            f'listen.ready={self.ip}:{ready}',
            f'listen.control={self.ip}:{control}',
            f'listen.directory={self.ip}:{directory}',
            f'internalPorts={internal},{internal}',
            f'seeds={seeds}',
            f'bootstrap={str(bootstrap).lower()}',
            'discovery=platform',
            'entry=directory',
            'heartbeat=1500ms',
            'contracts=base,drain,config,cost,retry,recover,places,platform',
            f'bounds={BOUNDS}',
            f'platform.address={HOST}:{self.store.port}',
            'platform.form=table',
            'platform.writesPerS=400',
            'platform.readsPerS=2000',
        ]
        self.settings.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        command[command.index('--metrics-port') + 1] = str(self.metrics)
        output = (self.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'TAMARACKWAY_CONFIG': str(self.settings),
            },
            stdout=output,
            stderr=output,
        )
        output.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop_and_restart(self, record, grace_s=6.0, pause_s=1.0):
        """Stop as the platform does, then start again; return the end."""
        record(f'{self.name} gets SIGTERM')
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s):
                await self.process.wait()
            record(f'{self.name} has ended by itself')
        except TimeoutError:
            record(f'{self.name} still runs after the grace time: SIGKILL')
            self.signal(signal.SIGKILL)
            await self.process.wait()
        await asyncio.sleep(pause_s)
        text = self.settings.read_text(encoding='utf-8')
        text = text.replace('bootstrap=true', 'bootstrap=false')
        self.settings.write_text(text, encoding='utf-8')
        await self.start()
        record(f'{self.name} is started again')

    async def is_ready(self):
        try:
            status, _, _ = await fetch(self.ip, self.ready_port, '/readiness')
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200


async def fetch(host, port, target, timeout_s=1.0):
    """Return status, headers and body of a GET request."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            return int(first.split(' ')[1]), headers, body
        finally:
            writer.close()


class Deployment:
    """A store, servers and machines of the system."""

    def __init__(self, record, machines):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix='review-')
        self.store = Store()
        self.backends = []
        self.daemons = []
        self.machines = machines

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                await daemon.process.wait()
        for backend in self.backends:
            for task in backend.tasks:
                task.cancel()
        for writer in list(WRITERS):
            writer.close()
        await asyncio.sleep(0.1)
        self.folder.cleanup()

    async def add_backend(self, *arguments, **options):
        backend = Backend(self.store, self.record, *arguments, **options)
        self.backends.append(backend)
        await backend.start()
        return backend

    async def start_daemons(self):
        for number in range(self.machines):
            zone = list(ZONES)[number % len(ZONES)]
            self.daemons.append(
                Daemon(self.folder.name, self.store, number, zone)
            )
        ports = free_ports(6, [daemon.ip for daemon in self.daemons])
        for daemon in self.daemons:
            daemon.write_settings(ports, daemons=self.daemons[:3])
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def wait_ready(self, daemon, limit_s=20):
        end_s = time.monotonic() + limit_s
        while not await daemon.is_ready():
            if (
                time.monotonic() > end_s
                or daemon.process.returncode is not None
            ):
                raise CannotRunError(f'{daemon.name} does not become ready')
            await asyncio.sleep(0.1)


class Client:
    """A client that asks the directory and keeps its connection.

    It keeps a look-up for its ``ttl``, honours ``Connection: close`` and
    leaves connections to machines that a new look-up no longer names.
    """

    def __init__(self, deployment, record, number, zone):
        self.deployment, self.record = deployment, record
        self.number, self.zone = number, zone
        self.random = random.Random(number)
        self.addresses = []
        self.expires_s = 0.0
        self.failed = set()
        self.link = None  # address, reader, writer
        self.sent = []

    async def look_up(self):
        """Ask up to three directories, the nearest first, a second each."""
        if time.monotonic() < self.expires_s:
            return
        region = ZONES[self.zone]
        nearest = sorted(
            self.deployment.daemons,
            key=lambda item: (
                item.zone != self.zone,
                ZONES[item.zone] != region,
                self.random.random(),
            ),
        )
        for daemon in nearest[:3]:
            try:
                status, _, content = await fetch(
                    daemon.ip,
                    daemon.directory,
                    f'/lookup?name=h.example&region={region}&zone={self.zone}',
                )
                document = json.loads(content) if status == 200 else {}
                addresses, ttl = document['addresses'], document['ttl']
            except (OSError, asyncio.IncompleteReadError, KeyError, ValueError):
                continue
            if addresses:
                self.addresses, self.failed = addresses, set()
                self.expires_s = time.monotonic() + min(parse_s(ttl), 5.0)
                if self.link and self.link[0] not in addresses:
                    self.hang_up()
                return

    def hang_up(self):
        if self.link:
            self.link[2].close()
        self.link = None

    async def call(self, method, path, deadline_s=2.5, body=b''):
        """Send one request; return what is known of it in the end."""
        await self.look_up()
        request_id = f'{self.random.getrandbits(64):016x}'
        usable = [a for a in self.addresses if a not in self.failed]
        is_kept = self.link is not None
        if self.link is None:
            address = self.random.choice(usable or self.addresses or [''])
            if not address:
                return None
            host, port = address.rsplit(':', 1)
            try:
                async with asyncio.timeout(1):
                    pair = await asyncio.open_connection(host, int(port))
            except OSError:
                self.failed.add(address)
                return None
            self.link = (address, *pair)
            WRITERS.add(pair[1])
            is_kept = False
        address, reader, writer = self.link
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'Request-Id: {request_id}\r\n'
            f'Cookie: Affinity-Key={self.number}\r\n'
            f'Deadline-Ms: {int(deadline_s * 1000)}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        request = {
            'id': request_id,
            'address': address,
            'method': method,
            'path': path,
            'body': body,
            'sent_s': time.monotonic(),
            'is_kept': is_kept,
        }
        self.sent.append(request)
        try:
            writer.write(head + body)
            async with asyncio.timeout(deadline_s):
                first, headers = await read_head(reader)
                request['answer'] = await read_body(reader, headers)
            request['status'] = int(first.split(' ')[1])
            request['headers'] = headers
            if headers.get('connection', '').lower() == 'close':
                self.hang_up()
        except TimeoutError:
            request['status'] = 'deadline'
            self.hang_up()
        except (OSError, asyncio.IncompleteReadError):
            request['status'] = 'cut'
            self.failed.add(address)
            self.hang_up()
        request['ended_s'] = time.monotonic()
        self.record(
            f'client {self.number} {method} {path} {request_id} to {address}: '
            f'{request["status"]} after '
            f'{request["ended_s"] - request["sent_s"]:.3f} s'
        )
        return request


def parse_s(text):
    """Return a duration of the pages in seconds."""
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def run_case(folder, case):
    """Run a case, print its result and return the exit status."""
    record = Record(folder)

    async def bounded():
        # All processes are ended if the script itself is stopped.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await case(record)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:
        record(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        return NOT_RUN
    for line in broken:
        record(f'BROKEN {line}')
        print(line)
    print('rule broken' if broken else 'rule held')
    record('rule broken' if broken else 'rule held')
    return BROKEN if broken else HELD


if __name__ == '__main__':
    sys.exit('this module is used by the scripts of the cases')
