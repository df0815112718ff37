"""A request that crashes backends comes again while machines are replaced."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common2'))

from kit import TROUBLE, Machine, Store, find_ip, main
from poison import POISON, STABLE_WINDOW_S, Fleet, Service, judge, make_config

ZONES = ('boh-a', 'mor-a', 'sil-a', 'boh-b', 'mor-b', 'sil-b')
BACKENDS = 8
GRACE_S = 6.0
BEFORE_STOP_S = 6.0  # between a look at one machine and the stop of the next


async def send_poison(fleet, machine):
    """Send the poisonous request to a machine, twice in a row."""
    for _ in range(2):
        await fleet.send(machine, 'GET', POISON)
        await asyncio.sleep(0.3)


async def restart(record, fleet, machine):
    """Stop a machine with SIGTERM and start it again."""
    record.add(f'SIGTERM for {machine.name}')
    machine.signal(signal.SIGTERM)
    await asyncio.wait_for(machine.process.wait(), GRACE_S + 1)
    record.add(f'{machine.name} starts again')
    fleet.started[machine.name] = time.monotonic()
    await machine.start()
    await machine.wait_ready()


async def case(record, scratch, machines):
    """Return what broke the rule, or an empty text."""
    store = Store('127.0.0.1')
    await store.open()
    service = Service(store, record, ZONES)
    for _ in range(BACKENDS):
        await service.add()
    store.put('op', 'config', make_config())
    fleet = Fleet(record, machines)
    for number, zone in enumerate(ZONES, 1):
        machine = Machine(f'front-{number}', find_ip(), store, zone, scratch)
        machines.append(machine)
        fleet.started[machine.name] = time.monotonic()
        await machine.start()
    for machine in machines:
        await machine.wait_ready()
    usual = asyncio.create_task(fleet.send_usual())
    await asyncio.sleep(STABLE_WINDOW_S)
    await send_poison(fleet, machines[-1])
    for machine in machines:
        await asyncio.sleep(BEFORE_STOP_S)
        if TROUBLE:
            await restart(record, fleet, machine)
        since = time.monotonic() - fleet.started[machine.name]
        await asyncio.sleep(max(STABLE_WINDOW_S + 0.3 - since, 0))
        await send_poison(fleet, machine)
    usual.cancel()
    await asyncio.gather(usual, return_exceptions=True)
    return judge(record, service, fleet)


if __name__ == '__main__':
    main(FOLDER, case)
