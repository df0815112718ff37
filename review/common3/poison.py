"""A request that crashes each server that begins to run it."""

import asyncio
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass

from rig import (
    Answer,
    CrashError,
    Request,
    Rig,
    Server,
    has_trouble,
    make_route,
)

MACHINES = 3
SERVERS = 8
CALLER = 'Bearer tablet-17'  # its request crashes servers
OTHERS = tuple(f'Bearer desk-{number}' for number in range(4))
PATH = '/net/slope-7'
RETRIES = 1  # of the caller, at another machine
HARMLESS_GAP_S = 0.1
WORK_S = 0.02
DOWN_S = 2.0
STABLE_S = 3.0
KILL_AFTER_S = 1.0
RESTART_DELAY_S = 0.4
CRASHES_ALLOWED = 3
MAX_LATE = 3


@dataclass(frozen=True)
class Variant:
    """What differs between the cases.

    :param is_silent: whether a server loses power instead of its process.
    :param find_path: returns the path of a harmless request by its number.
    :param submissions: how often the caller comes.
    :param gap_s: time in seconds between two times that it comes.
    :param kills: submissions after which all machines are killed at once. If
        there are any, they are the disruption, and the request always crashes
        servers.
    """

    is_silent: bool
    find_path: Callable[[int], str]
    submissions: int = 10
    gap_s: float = 4.0
    kills: frozenset[int] = frozenset()


class Poison:
    """Counts what the request does to the servers."""

    def __init__(self, rig: Rig, variant: Variant) -> None:
        """Start before the first request."""
        self.crashes_s: list[float] = []
        self._rig = rig
        self._variant = variant
        self._reached: set[str] = set()
        self._sent: dict[str, tuple[float, bool]] = {}
        self._address = rig.next_host()
        self._other_address = rig.next_host()
        self._returns: set[asyncio.Task[None]] = set()

    async def behave(self, server: Server, request: Request) -> Answer:
        """Run a request, unless it crashes the server."""
        request_id = request.headers.get('request-id', '')
        caller = request.headers.get('authorization', '')
        self._rig.record.add(f'{server.name} begins {request_id} of {caller!r}')
        if caller == CALLER:
            self._reached.add(request_id)
            if has_trouble() or self._variant.kills:
                await self._crash(server)
        await asyncio.sleep(WORK_S)
        return server.complete(request)

    async def submit(self, turn: int) -> None:
        """Send the request, and once more elsewhere if it fails."""
        for retry in range(1 + RETRIES):
            machine = self._rig.machines[(turn + retry) % MACHINES]
            sent_s = time.monotonic()
            is_in_touch = sent_s - machine.started_s > STABLE_S
            request_id, answer = await self._rig.send(
                machine,
                'GET',
                PATH,
                source=self._address,
                Authorization=CALLER,
            )
            self._sent[request_id] = (sent_s, is_in_touch)
            if answer.status == 200:
                return

    async def send_harmless(self) -> None:
        """Send the requests of other callers to all machines."""
        number = 0
        running: set[asyncio.Task[tuple[str, Answer]]] = set()
        while True:
            number += 1
            sending = self._rig.send(
                self._rig.machines[number % MACHINES],
                'GET',
                self._variant.find_path(number),
                source=self._other_address,
                Authorization=OTHERS[number % len(OTHERS)],
            )
            task = asyncio.create_task(sending)
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(HARMLESS_GAP_S)

    def count_late(self) -> int:
        """Return the attempts that reached servers too late.

        Only those count that were sent to machines in touch.
        """
        if len(self.crashes_s) < CRASHES_ALLOWED:
            return 0
        from_s = self.crashes_s[CRASHES_ALLOWED - 1] + STABLE_S
        return sum(
            sent_s > from_s and is_in_touch
            for request_id, (sent_s, is_in_touch) in self._sent.items()
            if request_id in self._reached
        )

    async def _crash(self, server: Server) -> None:
        self.crashes_s.append(time.monotonic())
        task = asyncio.create_task(self._start_again(server))
        self._returns.add(task)
        if not self._variant.is_silent:
            raise CrashError
        server.lose_power()
        await asyncio.Event().wait()

    async def _start_again(self, server: Server) -> None:
        await asyncio.sleep(DOWN_S)
        server.end_silence()
        await server.start()


async def play(rig: Rig, variant: Variant) -> bool:
    """Return whether at most three late retries reached servers."""
    poison = Poison(rig, variant)
    for number in range(SERVERS):
        server = await rig.add_server(f'i-{number}', 'statusdesk')
        server.behave = lambda request, server=server: poison.behave(
            server, request
        )
    rig.configure(1, [make_route('/net/', 'safe', 'statusdesk')])
    for number in range(MACHINES):
        await rig.add_machine(f'front-{number}')
    for machine in rig.machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_S)
    harmless = asyncio.create_task(poison.send_harmless())
    await asyncio.sleep(1)
    for turn in range(variant.submissions):
        next_s = time.monotonic() + variant.gap_s
        await poison.submit(turn)
        if turn in variant.kills and has_trouble():
            await asyncio.sleep(KILL_AFTER_S)
            await _kill_all(rig)
        await asyncio.sleep(max(next_s - time.monotonic(), 0))
    harmless.cancel()
    late = poison.count_late()
    rig.record.add(
        f'{len(poison.crashes_s)} crashes; {late} client attempts reached '
        f'servers later than {STABLE_S} s after the third, {MAX_LATE} allowed'
    )
    return late <= MAX_LATE


async def _kill_all(rig: Rig) -> None:
    """Kill all machines at the same moment, and start them again."""
    for machine in rig.machines:
        machine.signal(signal.SIGKILL)
    for machine in rig.machines:
        await machine.wait_ended()
    await asyncio.sleep(RESTART_DELAY_S)
    for machine in rig.machines:
        await machine.start()
