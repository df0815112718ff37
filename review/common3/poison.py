"""A request that crashes each server that begins to run it."""

import asyncio
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
SUBMISSIONS = 10
SUBMISSION_GAP_S = 4.0
RETRIES = 1  # of the caller, at another machine
HARMLESS_GAP_S = 0.1
WORK_S = 0.02
DOWN_S = 2.0
STABLE_S = 3.0
CRASHES_ALLOWED = 3
MAX_LATE = 3


@dataclass(frozen=True)
class Variant:
    """What differs between the cases.

    :param is_silent: whether a server loses power instead of its process.
    :param find_path: returns the path of a harmless request by its number.
    """

    is_silent: bool
    find_path: Callable[[int], str]


class Poison:
    """Counts what the request does to the servers."""

    def __init__(self, rig: Rig, variant: Variant) -> None:
        """Start before the first request."""
        self.crashes_s: list[float] = []
        self._rig = rig
        self._variant = variant
        self._reached_s: dict[str, float] = {}
        self._returns: set[asyncio.Task[None]] = set()

    async def behave(self, server: Server, request: Request) -> Answer:
        """Run a request, unless it crashes the server."""
        request_id = request.headers.get('request-id', '')
        caller = request.headers.get('authorization', '')
        self._rig.record.add(f'{server.name} begins {request_id} of {caller!r}')
        if caller == CALLER:
            self._reached_s.setdefault(request_id, time.monotonic())
            if has_trouble():
                await self._crash(server)
        await asyncio.sleep(WORK_S)
        return server.complete(request)

    def count_late(self) -> int:
        """Return the client attempts that reached servers too late."""
        if len(self.crashes_s) < CRASHES_ALLOWED:
            return 0
        from_s = self.crashes_s[CRASHES_ALLOWED - 1] + STABLE_S
        return sum(reached_s > from_s for reached_s in self._reached_s.values())

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
    harmless = asyncio.create_task(_send_harmless(rig, variant))
    await asyncio.sleep(1)
    for turn in range(SUBMISSIONS):
        await _submit(rig, turn)
        await asyncio.sleep(SUBMISSION_GAP_S)
    harmless.cancel()
    late = poison.count_late()
    rig.record.add(
        f'{len(poison.crashes_s)} crashes; {late} client attempts reached '
        f'servers later than {STABLE_S} s after the third, {MAX_LATE} allowed'
    )
    return late <= MAX_LATE


async def _submit(rig: Rig, turn: int) -> None:
    """Send the request, and once more elsewhere if it fails."""
    for retry in range(1 + RETRIES):
        machine = rig.machines[(turn + retry) % MACHINES]
        _, answer = await rig.send(machine, 'GET', PATH, Authorization=CALLER)
        if answer.status == 200:
            return


async def _send_harmless(rig: Rig, variant: Variant) -> None:
    """Send the requests of other callers to all machines."""
    number = 0
    running: set[asyncio.Task[tuple[str, Answer]]] = set()
    while True:
        number += 1
        sending = rig.send(
            rig.machines[number % MACHINES],
            'GET',
            variant.find_path(number),
            Authorization=OTHERS[number % len(OTHERS)],
        )
        task = asyncio.create_task(sending)
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(HARMLESS_GAP_S)
