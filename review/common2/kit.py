"""Stand-ins for the platform, backends and clients, and processes under test.

Everything runs on loopback addresses. The daemons are started as separate
processes with the command of the deploy file; the stand-ins live in the event
loop of the script.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BOUNDS = (
    'seedLag=3s,reuseAfter=2s,stableWindow=3000ms,ack=4000ms,catchUp=4s,'
    'drain=2000ms,grace=6s,lossSlack=200ms,configApply=2000ms,'
    'rollbackSlack=250ms,skewMax=5000ms,budgetRatio=0.2,budgetWindow=10s,'
    'budgetExtra=62,coldMultiplier=1.5,coldSlack=5,evacuate=5000ms,'
    'recover=15s,ttl_max=5s,maxShift=0.15'
)
ZONES = {
    'boh-a': 'cz-bohemia',
    'mor-a': 'cz-moravia',
    'sil-a': 'cz-silesia',
    'boh-b': 'cz-bohemia',
    'mor-b': 'cz-moravia',
    'sil-b': 'cz-silesia',
}
HOST = 'jepu9.example'
# The same on all machines, as on the platform; each has an address of its own.
PORTS = (7540, 8542, 8546, 8548, 9464)


class Record:
    """Collects what happened, with times since the start."""

    def __init__(self, folder):
        """Start empty."""
        self.path = Path(folder) / 'record.txt'
        self.started = time.monotonic()
        self.lines = []

    def add(self, text):
        """Add a line."""
        self.lines.append(f'{time.monotonic() - self.started:8.3f} {text}')

    def close(self, verdict):
        """Write the file."""
        self.lines.append(verdict)
        self.path.write_text('\n'.join(self.lines) + '\n', encoding='utf-8')
        sys.stdout.write(verdict + '\n')


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


def encode_answer(status, headers=(), body=b''):
    """Return an encoded answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Server:
    """An HTTP server that calls a handler for each request."""

    def __init__(self, ip, port=0):
        """Do not listen yet."""
        self.ip = ip
        self.port = port
        self.server = None
        self.writers = set()

    @property
    def address(self):
        """The address as text."""
        return f'{self.ip}:{self.port}'

    async def open(self):
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stop to listen and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.handle(line, headers, body, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store, without limits on its rates."""

    def __init__(self, ip):
        """Start empty."""
        super().__init__(ip)
        self.era = 1
        self.ver = 100
        self.rows = {}
        self.log = []
        self.compacted = 0
        self.changed = asyncio.Event()
        self.back = asyncio.Event()
        self.late_s = 0.0
        self.is_silent = False

    def put(self, table, key, document):
        """Write a row as the operator or a backend."""
        content = document if isinstance(document, bytes) else None
        if content is None:
            content = json.dumps(document).encode()
        self.ver += 1
        self._write(table, key, base64.b64encode(content).decode())
        self._wake()

    def drop(self, table, key):
        """Remove a row."""
        self.ver += 1
        self._write(table, key, None)
        self._wake()

    def restore(self):
        """Answer again."""
        self.is_silent = False
        self.back.set()
        self.back = asyncio.Event()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _write(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.ver)
        self.log.append((self.ver, table, key, value))

    async def handle(self, line, headers, body, writer):
        """Answer one call."""
        method, target, _ = line.split(' ')
        if self.is_silent:
            await self.back.wait()
            raise EOFError  # an answer that was lost; nothing was done
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == '/rows-get':
            status, answer = 200, self._get(query)
        elif path == '/rows-feed':
            status, answer = await self._feed(query)
        elif path == '/rows-tx' and method == 'POST':
            status, answer = self._transact(json.loads(body))
        else:
            status, answer = 404, {}
        answer.setdefault('ver', self.ver)
        answer['now'] = time.monotonic()
        await asyncio.sleep(0.004 + self.late_s)
        extra = [
            ('Content-Type', 'application/json'),
            ('Store-Era', str(self.era)),
        ]
        writer.write(encode_answer(status, extra, json.dumps(answer).encode()))
        await writer.drain()

    def _row(self, table, key, value, ver):
        row = {'table': table, 'part': '', 'key': key, 'ver': ver}
        if value is None:
            return {**row, 'deleted': True}
        return {**row, 'value': value}

    def _get(self, query):
        found = sorted(
            (key, value, ver)
            for (table, key), (value, ver) in self.rows.items()
            if table == query['table'] and key >= query.get('from', '')
        )
        limit = int(query.get('limit', 500))
        rows = [
            self._row(query['table'], key, value, ver)
            for key, value, ver in found[:limit]
        ]
        return {'rows': rows, 'hasMore': len(found) > limit}

    async def _feed(self, query):
        after = int(query['after'])
        if after < self.compacted or after > self.ver:
            return 410, {}
        end = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            rows = [
                self._row(table, key, value, ver)
                for ver, table, key, value in self.log
                if table == query['table'] and ver > after
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows, 'ver': self.ver}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _transact(self, call):
        for row in call.get('expectedRev', ()):
            known = self.rows.get((row['table'], row['key']), (None, 0))
            if known[1] != row['ver']:
                return 412, {'rows': []}
        self.ver += 1
        for row in call.get('writes', ()):
            self._write(row['table'], row['key'], row['value'])
        for row in call.get('remove', ()):
            self._write(row['table'], row['key'], None)
        self._wake()
        return 200, {}


class Backend(Server):
    """A sound backend; ``runs`` holds what it began to run."""

    def __init__(self, store, record, name, service, ip, zone='boh-a'):
        """Do not listen yet."""
        super().__init__(ip)
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.seq = 1
        self.work_s = 0.02
        self.runs = []
        self.arrivals = []

    def register(self, state='ready', cold='0ms'):
        """Write the entry in the store."""
        self.seq += 1
        self.store.put(
            'servers',
            self.name,
            {
                'address': self.address,
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': 3,
                },
                'status': {
                    'state': state,
                    'seq': self.seq,
                    'coldLeft': cold,
                },
            },
        )

    async def handle(self, line, headers, body, writer):
        """Run one request, unless it expects another backend."""
        request_id = headers.get('request-id', '')
        if headers.get('expect-instance', self.name) != self.name:
            writer.write(encode_answer(421, [('Instance-Id', self.name)]))
            return
        self.arrivals.append((request_id, line))
        self.record.add(f'{self.name} runs {request_id}: {line}')
        self.runs.append((request_id, line, body))
        await self.run(request_id, line, headers, body, writer)

    async def run(self, request_id, line, headers, body, writer):
        """Work and answer."""
        await asyncio.sleep(self.work_s)
        self.answer(request_id, writer)

    def answer(self, request_id, writer, status=200, body=b'whole', extra=()):
        """Write a signed answer."""
        writer.write(
            encode_answer(
                status,
                [
                    ('Request-Id', request_id),
                    ('Response-Stamp', f'{self.name}.{request_id}'),
                    *extra,
                ],
                body,
            )
        )


def find_ip():
    """Return a loopback address on which the ports of a machine are free."""
    while True:
        ip = '.'.join(('127', *(str(random.randint(1, 254)) for _ in '123')))
        try:
            for port in PORTS:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return ip


class Machine:
    """One daemon as a separate process."""

    def __init__(self, name, ip, store, zone, folder, bounds=BOUNDS):
        """Write the settings."""
        self.name = name
        self.ip = ip
        self.folder = Path(folder)
        self.process = None
        self.path = self.folder / f'{name}.conf'
        lines = {
            'nodeName': name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': 'front,directory',
            'ip': ip,
            'zone': zone,
            'region': ZONES[zone],
            **{f'zones.{key}': text for key, text in ZONES.items()},
            'listen.front': f'{ip}:8548',
            'listen.ready': f'{ip}:8542',
            'listen.directory': f'{ip}:8546',
            'internalPorts': '7540,7555',
            'seeds': '',
            'bootstrap': 'true',
            'limits.cpuShare': '0.86',
            'limits.cores': '1',
            'limits.memoryMb': '300',
            'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0',
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeat': '1500ms',
            'tolerate.machines': '1',
            'bounds': bounds,
            'platform.address': store.address,
            'platform.form': 'table',
            'platform.writesPerS': '400',
            'platform.readsPerS': '2000',
            'platform.rowBytes': '65536',
            'platform.history': '20s',
        }
        text = ''.join(f'{key}={value}\n' for key, value in lines.items())
        self.path.write_text(text, encoding='utf-8')

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        command = deploy['roles']['entry']['run'].split(' ')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', str(self.folder)),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'TAMARACKWAY_CONFIG': str(self.path),
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def log(self):
        """What the process has written."""
        path = self.folder / f'{self.name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    async def wait_ready(self, limit_s=20.0):
        """Wait until the platform's check succeeds."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                answer = await request(
                    f'{self.ip}:8542', 'GET', '/readiness', timeout_s=1.0
                )
            except (OSError, EOFError, ValueError):
                answer = None
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise SetupError(f'{self.name} did not become ready')

    async def stop(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class SetupError(Exception):
    """The case could not run."""


async def request(
    address,
    method,
    target,
    headers=(),
    body=b'',
    timeout_s=10.0,
):
    """Send one request on a new connection; return status, headers, body."""
    ip, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(encode_request(method, target, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()


async def look_up(directory, region, zone):
    """Return the addresses that a directory names."""
    target = f'/lookup?name={HOST}&region={region}&zone={zone}'
    status, _, body = await request(directory, 'GET', target, timeout_s=1.0)
    return json.loads(body)['addresses'] if status == 200 else []


def encode_request(method, target, headers=(), body=b''):
    """Return an encoded request."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body or method not in {'GET', 'HEAD'}:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    line, headers, body = await read_message(reader)
    return int(line.split(' ')[1]), headers, body


def route(name, prefix, service, **spec):
    """Return a route of the configuration."""
    return {
        'entryType': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': HOST,
            'prefix': prefix,
            'kind': 'safe',
            'timeout': '1200ms',
            'targetLatency': '300ms',
            'priority': 1,
            'service': service,
            'maxAttempts': 2,
            'sessionAffinity': False,
            'homeRegions': [],
            **spec,
        },
    }


def config(version, routes, services, **limits):
    """Return a configuration."""
    policies = [
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
    ]
    bounds = {
        'entryType': 'limits',
        'metadata': {},
        'spec': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
            **limits,
        },
    }
    return {
        'version': version,
        'baseVersion': version - 1,
        'resources': [*routes, *policies, bounds],
    }


def main(folder, case):
    """Run a case and exit with 1 if the rule was broken, 0 if it held."""
    record = Record(folder)

    async def run():
        with tempfile.TemporaryDirectory() as scratch:
            machines = []
            try:
                async with asyncio.timeout(115):
                    return await case(record, Path(scratch), machines)
            finally:
                for machine in machines:
                    await machine.stop()
                if os.environ.get('KEEP_LOGS'):
                    for machine in machines:
                        target = Path(os.environ['KEEP_LOGS'])
                        (target / f'{machine.name}.log').write_text(machine.log)

    try:
        broken = asyncio.run(run())
    except (SetupError, OSError, TimeoutError, EOFError) as error:
        record.close(f'could not run: {type(error).__name__} {error}')
        sys.exit(2)
    record.close(f'BROKEN: {broken}' if broken else 'held')
    sys.exit(1 if broken else 0)
