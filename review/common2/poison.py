"""Backends that crash on one request, and clients that send it."""

import asyncio
import time

from kit import Backend, config, request, route

SERVICE = 'statusdesk'
STABLE_WINDOW_S = 3.0
DOWN_S = 2.0  # until a crashed backend is back
LAPSE_S = 4.5  # three heartbeats
MAX_RETRIES = 3
THIRD_CRASH = 3
POISON = '/net/4711'
GAP_S = 0.05
WORK_S = 0.1


class Service:
    """Backends that crash when they begin to run the poisonous request."""

    def __init__(self, store, record, zones, *, crashes=True):
        """Start without backends."""
        self.zones = zones
        self.crashes = crashes
        self.store = store
        self.record = record
        self.backends = []
        self.reached = []  # time and request of each run of the poison
        self.count = 0
        self.tasks = set()

    async def add(self, cold='0ms'):
        """Start a backend."""
        self.count += 1
        zone = self.zones[self.count % len(self.zones)]
        backend = CrashingBackend(self, f'i-{self.count}', zone)
        await backend.open()
        backend.register(cold=cold)
        self.backends.append(backend)

    def crash(self, backend, request_id):
        """End a backend; it comes back with a new id."""
        self.reached.append((time.monotonic(), request_id))
        self.record.add(f'{backend.name} crashes on {request_id}')
        backend.close()
        task = asyncio.get_running_loop().create_task(self.replace(backend))
        self.tasks.add(task)

    async def replace(self, backend):
        """Start another backend, and let the entry of the old one lapse."""
        await asyncio.sleep(DOWN_S)
        await self.add('3000ms')
        await asyncio.sleep(LAPSE_S - DOWN_S)
        self.store.drop('servers', backend.name)


class CrashingBackend(Backend):
    """Backend of the service."""

    def __init__(self, service, name, zone):
        """Do not listen yet."""
        super().__init__(
            service.store, service.record, name, SERVICE, '127.0.0.1', zone
        )
        self.owner = service
        self.work_s = WORK_S

    async def handle(self, line, headers, body, writer):
        """Run one request, or crash."""
        is_meant = headers.get('expect-instance') == self.name
        if self.owner.crashes and is_meant and f' {POISON} ' in line:
            self.owner.crash(self, headers['request-id'])
            raise EOFError
        await super().handle(line, headers, body, writer)


class Fleet:
    """Machines, and clients that use all of them."""

    def __init__(self, record, machines):
        """Store the machines."""
        self.record = record
        self.machines = machines
        self.started = {}  # machine's name: time of its start
        self.sent = {}  # request: machine's name and time
        self.lost = []
        self.count = 0

    async def send(self, machine, method, path):
        """Send a request to a machine and return how it ended."""
        self.count += 1
        name = f'q-{self.count}'
        self.sent[name] = (machine.name, time.monotonic())
        headers = [('Request-Id', name), ('Deadline-Ms', '2000')]
        try:
            status, _, _ = await request(
                f'{machine.ip}:8548', method, path, headers, timeout_s=2
            )
        except (OSError, EOFError) as error:
            status = repr(error)
        if path == POISON:
            self.record.add(f'{name}, the poison, at {machine.name}: {status}')
        elif status in {502, 504}:
            self.lost.append(name)
            self.record.add(f'{name}, {path}, at {machine.name}: {status}')
        return status

    async def send_usual(self):
        """Send harmless requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                machine = self.machines[self.count % len(self.machines)]
                group.create_task(
                    self.send(machine, 'POST', f'/reports/{self.count}')
                )
                await asyncio.sleep(GAP_S)


def make_config():
    """Return the configuration of the cases."""
    routes = [
        route('net', '/net/', SERVICE, timeout='1000ms'),
        route('reports', '/reports/', SERVICE, kind='unsafe'),
    ]
    return config(5, routes, [SERVICE])


def judge(record, service, fleet):
    """Return what broke the rule, or an empty text."""
    record.add(f'the poison has crashed {len(service.reached)} backends')
    if len(service.reached) < THIRD_CRASH:
        return ''
    counts_from = service.reached[THIRD_CRASH - 1][0] + STABLE_WINDOW_S
    retries = set()
    for _, name in service.reached:
        machine, sent = fleet.sent[name]
        in_touch = sent - fleet.started[machine] > STABLE_WINDOW_S
        if sent > counts_from and in_touch:
            retries.add(name)
    record.add(f'{len(retries)} retries reached backends after the third crash')
    record.add(f'{len(fleet.lost)} harmless requests were lost beside it')
    if len(retries) > MAX_RETRIES:
        return (
            f'{len(retries)} retries reached backends; '
            f'{len(service.reached)} backends crashed'
        )
    return ''
