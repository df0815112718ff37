"""Machines are stopped and started again in turn, as planned.

There is one machine in each region. Requests on the route may be served in one
region only, the home. Clients of the other two regions ask the directory where
to connect. While the machine of their region stops, the directory must name
the one of the home, not that of the third region.
"""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common3'))

from rig import ZONES, Machine, Rig, has_trouble, main, make_route

HOME = 'sil-a'
CLIENT_ZONES = ('boh-a', 'mor-a')
CLIENTS = 3  # of each zone
GAP_S = 0.05
PLAY_S = 30.0
STOPS_S = {'mor-a': 4.0, 'boh-a': 16.0}
RESTART_DELAY_S = 0.3
TTL_S = 1.2
MAX_SHARE = 1 / 20


class Clients:
    """Clients of one zone, which connect where the directory says."""

    def __init__(self, rig: Rig, zone: str) -> None:
        """Start before the first request."""
        self.rig = rig
        self.zone = zone
        self.sent: Counter[str] = Counter()
        self.by_address = {
            f'{machine.host}:{machine.front}': machine
            for machine in rig.machines
        }
        # The nearest one first.
        self.directories = sorted(
            rig.machines, key=lambda machine: machine.zone != zone
        )

    async def run(self, first: int, until_s: float) -> None:
        """Send requests until the end of the play."""
        valid_until_s = 0.0
        machines: list[Machine] = []
        number = first
        while time.monotonic() < until_s:
            number += 1
            if time.monotonic() > valid_until_s:
                machines = await self.look_up() or machines
                valid_until_s = time.monotonic() + TTL_S
            if machines:
                machine = machines[number % len(machines)]
                await self.rig.send(machine, 'GET', '/net/1')
                self.sent[machine.zone] += 1
            await asyncio.sleep(GAP_S)

    async def look_up(self) -> list[Machine]:
        """Return the machines that the directory names."""
        for directory in self.directories:
            found = await directory.look_up(ZONES[self.zone])
            if found:
                machines = [self.by_address[address] for address in found]
                names = [machine.name for machine in machines]
                self.rig.record.add(
                    f'{directory.name} names {names} to clients of {self.zone}'
                )
                return machines
        return []

    def count_misled(self) -> int:
        """Return the requests sent to neither the home nor the own region."""
        return sum(
            count
            for zone, count in self.sent.items()
            if zone not in {HOME, self.zone}
        )


async def play(rig: Rig) -> bool:
    """Return whether hardly a request was sent to a third region."""
    for zone in ZONES:
        for number in range(2):
            await rig.add_server(f'i-{zone}-{number}', 'statusdesk', zone)
    homes = (ZONES[HOME],)
    rig.configure(1, [make_route('/net/', 'safe', 'statusdesk', homes=homes)])
    for zone in ZONES:
        await rig.add_machine(f'front-{zone}', zone)
    for machine in rig.machines:
        await machine.wait_ready()
    await asyncio.sleep(3)
    until_s = time.monotonic() + PLAY_S
    groups = [Clients(rig, zone) for zone in CLIENT_ZONES]
    running = [
        asyncio.create_task(group.run(number, until_s))
        for group in groups
        for number in range(CLIENTS)
    ]
    if has_trouble():
        running += [
            asyncio.create_task(stop_and_start(machine, STOPS_S[machine.zone]))
            for machine in rig.machines
            if machine.zone in STOPS_S
        ]
    await asyncio.gather(*running)
    total = sum(group.sent.total() for group in groups)
    misled = sum(group.count_misled() for group in groups)
    rig.record.add(
        f'{total} requests, {misled} of them in a region that is neither home '
        f'nor of the client: {misled / total:.3f}, {MAX_SHARE:.3f} allowed'
    )
    return misled / total <= MAX_SHARE


async def stop_and_start(machine: Machine, delay_s: float) -> None:
    """Stop a machine after some time, and start it again."""
    await asyncio.sleep(delay_s)
    machine.signal(signal.SIGTERM)
    await machine.wait_ended()
    await asyncio.sleep(RESTART_DELAY_S)
    await machine.start()


main(FOLDER, play)
