"""A machine that started while the store is down gets SIGTERM."""

import asyncio
import contextlib
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common2'))

from kit import (
    TROUBLE,
    Backend,
    Machine,
    SetupError,
    Store,
    config,
    encode_request,
    find_ip,
    look_up,
    main,
    read_answer,
    route,
)

SERVICE = 'defectlog'
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
STABLE_WINDOW_S = 3.0
ROUTE_TIMEOUT_S = 1.2
DEADLINE_S = 2.5
STORE_DOWN_S = 8.0  # the longest outage of the store in the site file
GAP_S = 0.04
RUNNING_S = 0.1  # between the start of the machine and the second SIGTERM
START_S = 2.1  # longest time until it answers look-ups


class Client:
    """Sends requests on new connections to machines that a look-up names."""

    def __init__(self, record, directories):
        """Store the directories, the nearest first."""
        self.record = record
        self.directories = directories
        self.count = 0
        self.lost = []
        self.stopped = {}  # machine's ip: time of its last SIGTERM

    async def find(self):
        """Return the addresses that the nearest directory names."""
        for directory in self.directories:
            try:
                addresses = await look_up(directory, 'cz-bohemia', 'boh-a')
            except (OSError, EOFError, ValueError):
                continue
            if addresses:
                return addresses
        return []

    async def send(self, number):
        """Send one request and record how it ended."""
        addresses = await self.find()
        if not addresses:
            return
        address = random.choice(addresses)
        ip, _, port = address.rpartition(':')
        name = f'report-{number}'
        headers = [('Request-Id', name), ('Deadline-Ms', '2500')]
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError as error:
            self.record.add(f'{name} to {ip}: no connection, {error!r}')
            return
        writer.write(encode_request('POST', '/reports/', headers, b'torn net'))
        sent = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_S):
                status, _, _ = await read_answer(reader)
        except TimeoutError:
            status = 'nothing until the deadline'
        except EOFError:
            # The end of the stream, and no reset: all bytes had been read.
            status = 'the end of the connection'
            self.judge(name, ip, sent)
        except OSError as error:
            status = repr(error)
        took = time.monotonic() - sent
        self.record.add(f'{name} to {ip}: {status} after {took:.3f} s')
        writer.close()

    def judge(self, name, ip, sent):
        """Count a request that was read and ended without an answer."""
        now = time.monotonic()
        stopped = self.stopped.get(ip)
        if stopped is None or not stopped <= now <= stopped + GRACE_S + 1:
            return
        if LOSS_SLACK_S < now - sent < ROUTE_TIMEOUT_S:
            self.lost.append(name)

    async def run(self):
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.count += 1
                group.create_task(self.send(self.count))
                await asyncio.sleep(GAP_S)


async def wait_for_directory(machine):
    """Wait until a machine answers look-ups."""
    end = time.monotonic() + START_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError, EOFError):
            if await look_up(f'{machine.ip}:8546', 'cz-bohemia', 'boh-a'):
                return
        await asyncio.sleep(0.05)
    raise SetupError('the machine did not start in time')


async def case(record, scratch, machines):
    """Return what broke the rule, or an empty text."""
    store = Store('127.0.0.1')
    await store.open()
    for number in range(3):
        backend = Backend(store, record, f'i-{number}', SERVICE, '127.0.0.1')
        await backend.open()
        backend.register()
    routes = [route('reports', '/reports/', SERVICE, kind='unsafe')]
    store.put('op', 'config', config(5, routes, [SERVICE]))
    for number, zone in ((1, 'boh-a'), (2, 'boh-b')):
        machine = Machine(f'front-{number}', find_ip(), store, zone, scratch)
        machines.append(machine)
        await machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S)
    first = machines[0]
    client = Client(record, [f'{machine.ip}:8546' for machine in machines])
    clients = asyncio.create_task(client.run())

    def stop():
        record.add(f'SIGTERM for {first.name}')
        client.stopped[first.ip] = time.monotonic()
        first.signal(signal.SIGTERM)

    stop()
    await asyncio.wait_for(first.process.wait(), GRACE_S + 1)
    if TROUBLE:
        record.add('the store answers no more')
        store.is_silent = True
        asyncio.get_running_loop().call_later(STORE_DOWN_S, store.restore)
    record.add(f'{first.name} starts again')
    await first.start()
    await wait_for_directory(first)
    await asyncio.sleep(RUNNING_S)
    stop()
    await asyncio.wait_for(first.process.wait(), GRACE_S + 1)
    await asyncio.sleep(1)
    record.add(f'{first.name} has ended')
    clients.cancel()
    await asyncio.gather(clients, return_exceptions=True)
    if client.lost:
        names = ', '.join(client.lost)
        return f'{len(client.lost)} requests were read and cut: {names}'
    return ''


if __name__ == '__main__':
    main(FOLDER, case)
