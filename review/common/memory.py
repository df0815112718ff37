"""Servers that answer without end, and a platform that watches memory."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import kit

MEMORY_MB = 300  # `limits.memoryMb` of the settings
PAUSE_BETWEEN_S = 12.0
SERVER_BYTES_PER_S = 250e6 / 8  # a quarter of the link of a machine
CLIENTS = 90
MAX_CUT = 3


@dataclass(frozen=True)
class Trouble:
    """What the servers of a service do while they are in trouble."""

    servers: int  # of the eight of the service
    share: float  # of the requests that they run
    length_s: float
    rounds: int
    start: bytes  # follows the headers of the answer
    piece: bytes  # sent again and again


class EndlessBackend(kit.Backend):
    """A server that, while in trouble, answers with bytes without end."""

    def __init__(self, *arguments, trouble, **options):
        super().__init__(*arguments, **options)
        self.in_trouble = False
        self.trouble = trouble
        self.writers = {}
        self.next_piece_s = 0.0
        self.endless = 0

    async def serve(self, reader, writer):
        self.writers[reader] = writer
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.pop(reader)

    async def handle(self, first, headers, body, reader):
        answer = await super().handle(first, headers, body, reader)
        is_run = answer is not None and answer.startswith(b'HTTP/1.1 200')
        spoiled = random.random() < self.trouble.share
        if not (is_run and self.in_trouble and spoiled):
            return answer
        self.endless += 1
        head = answer.partition(b'\r\nContent-Length')[0]
        writer = self.writers[reader]
        piece = self.trouble.piece
        writer.write(head + self.trouble.start)
        sent = 0
        try:
            while True:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
                # All connections of the server share its rate.
                now_s = time.monotonic()
                self.next_piece_s = max(self.next_piece_s, now_s)
                self.next_piece_s += len(piece) / SERVER_BYTES_PER_S
                await asyncio.sleep(self.next_piece_s - now_s)
        except OSError:
            self.record(
                f'{self.name} answers {headers.get("request-id")} without '
                f'end; the caller has closed after {sent} bytes'
            )
        return None


class Platform:
    """Ends processes that exceed their memory, and starts them again."""

    def __init__(self, record):
        self.record = record
        self.peaks = {}
        self.ends = {}

    async def watch(self, daemon):
        while True:
            await asyncio.sleep(0.05)
            used_mb = read_memory_mb(daemon.process.pid)
            self.peaks[daemon.name] = max(
                self.peaks.get(daemon.name, 0),
                used_mb,
            )
            if used_mb <= MEMORY_MB and daemon.process.returncode is None:
                continue
            self.record(
                f'{daemon.name} uses {used_mb:.0f} MB, more than {MEMORY_MB} '
                'MB: killed by the platform'
            )
            self.ends.setdefault(f'{daemon.ip}:{daemon.front}', []).append(
                time.monotonic(),
            )
            daemon.signal(signal.SIGKILL)
            await daemon.process.wait()
            await asyncio.sleep(1)
            await daemon.start()
            self.record(f'{daemon.name} is started again')


def read_memory_mb(pid):
    try:
        text = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0


async def use(client, end_s):
    number = 0
    await asyncio.sleep(client.random.random())
    while time.monotonic() < end_s:
        number += 1
        name = f'{client.number}-{number}'
        if number % 2:
            await client.call('GET', f'/status/{name}', deadline_s=2.0)
        else:
            await client.call('POST', f'/reports/{name}', body=b'x' * 500)
        await asyncio.sleep(0.4)


async def play(record, trouble):
    async with kit.Deployment(record, machines=3) as deployment:
        deployment.store.put(
            'op',
            'config',
            kit.make_config(
                3,
                [
                    ('/status/', 'safe', 'status', '1500ms'),
                    ('/reports/', 'unsafe', 'defects', '2000ms'),
                ],
                ['status', 'defects'],
            ),
        )
        faulty = []
        for number in range(8):
            zone = list(kit.ZONES)[number % 3]
            backend = EndlessBackend(
                deployment.store,
                record,
                f'i-status-{number}',
                'status',
                zone,
                work_s=0.1,
                trouble=trouble,
            )
            faulty.append(backend)
            deployment.backends.append(backend)
            await backend.start()
        for number in range(6):
            await deployment.add_backend(
                f'i-defects-{number}',
                'defects',
                list(kit.ZONES)[number % 3],
                work_s=0.4,
                slots=16,
            )
        await deployment.start_daemons()
        await asyncio.sleep(3)
        platform = Platform(record)
        watches = [
            asyncio.create_task(platform.watch(item))
            for item in deployment.daemons
        ]
        zones = list(kit.ZONES)
        clients = [
            kit.Client(deployment, record, number, zones[number % len(zones)])
            for number in range(CLIENTS)
        ]
        end_s = (
            time.monotonic()
            + 4
            + trouble.rounds * (trouble.length_s + PAUSE_BETWEEN_S)
        )
        use_all = asyncio.gather(*(use(client, end_s) for client in clients))
        await asyncio.sleep(4)
        for _ in range(trouble.rounds):
            record('servers of status are in trouble')
            for backend in faulty[: trouble.servers]:
                backend.in_trouble = kit.TROUBLE
            await asyncio.sleep(trouble.length_s)
            record('servers of status are well again')
            for backend in faulty:
                backend.in_trouble = False
            await asyncio.sleep(PAUSE_BETWEEN_S)
        await use_all
        for watch in watches:
            watch.cancel()
        return judge(record, deployment, platform, clients, faulty)


def judge(record, deployment, platform, clients, faulty):
    sound_runs = {
        run[0]
        for item in deployment.backends
        if item not in faulty
        for run in item.runs
    }
    sent = [request for client in clients for request in client.sent]
    cut = {}
    for request in sent:
        is_cut = request['status'] == 'cut' and request['is_kept']
        if is_cut and request['id'] in sound_runs:
            cut.setdefault(request['address'], []).append(request)
    broken = [
        f'LOST: {len(requests)} requests to {address} from kept connections '
        'were passed on to sound servers, and the connections closed without '
        f'an answer, the first '
        f'{requests[0]["id"]}'
        for address, requests in cut.items()
        if len(requests) > MAX_CUT
    ]
    often = [name for name, ends in platform.ends.items() if len(ends) >= 3]
    if len(often) >= 2:
        broken.append(
            f'Fault: processes on {len(often)} of {len(deployment.daemons)} '
            'machines ended by themselves three times'
        )
    served = sum(request['status'] == 200 for request in sent)
    record(
        f'{len(sent)} requests sent, {served} served, '
        f'{sum(item.endless for item in faulty)} answers without end; '
        f'memory peaks in MB: {platform.peaks}; ends by memory: '
        f'{ {name: len(ends) for name, ends in platform.ends.items()} }'
    )
    if not served:
        raise kit.CannotRunError('no request was served')
    return broken
