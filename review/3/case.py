"""The machines of a small deployment are stopped and started in turn."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import kit

GAP_S = 1.0
GRACE_S = 6.0
EARLY_S = 3.0  # requests sent later than this after SIGTERM always count
CLIENTS = 72
PAUSE_S = (0.1, 0.5)  # between the requests of a client


async def use(client, end_s):
    number = 0
    await asyncio.sleep(client.random.random())
    while time.monotonic() < end_s:
        number += 1
        kind = ('GET', '/status/') if number % 3 else ('POST', '/reports/')
        body = b'' if kind[0] == 'GET' else b'x' * 500
        sent = await client.call(
            kind[0],
            f'{kind[1]}{client.number}-{number}',
            body=body,
        )
        await asyncio.sleep(client.random.uniform(*PAUSE_S) if sent else 0.1)


async def case(record):
    async with kit.Deployment(record, machines=3) as deployment:
        deployment.store.put(
            'op',
            'config',
            kit.make_config(
                3,
                [
                    ('/status/', 'safe', 'status', '2000ms'),
                    ('/reports/', 'unsafe', 'defects', '2000ms'),
                ],
                ['status', 'defects'],
            ),
        )
        for service in ('status', 'defects'):
            for number, zone in enumerate(kit.ZONES):
                await deployment.add_backend(
                    f'i-{service}-{number}',
                    service,
                    zone,
                    work_s=0.4,
                    slots=16,
                )
        await deployment.start_daemons()
        await asyncio.sleep(3)
        zones = list(kit.ZONES)
        clients = [
            kit.Client(deployment, record, number, zones[number % len(zones)])
            for number in range(CLIENTS)
        ]
        end_s = time.monotonic() + 20
        use_all = asyncio.gather(*(use(client, end_s) for client in clients))
        await asyncio.sleep(4)
        stops = {}
        restarts = []
        if kit.TROUBLE:
            for daemon in deployment.daemons:
                stops[f'{daemon.ip}:{daemon.front}'] = time.monotonic()
                restarts.append(
                    asyncio.create_task(
                        daemon.stop_and_restart(record, GRACE_S),
                    )
                )
                await asyncio.sleep(GAP_S)
        await use_all
        await asyncio.gather(*restarts)
        runs = {run[0] for item in deployment.backends for run in item.runs}
        broken = []
        sent = [request for client in clients for request in client.sent]
        for request in sent:
            stop_s = stops.get(request['address'])
            if request['status'] != 'cut':
                continue
            if stop_s is None:
                broken.append(f'LOST: {request["id"]} cut without planned work')
                continue
            after_s = request['sent_s'] - stop_s
            if EARLY_S < after_s < GRACE_S + 1 and request['id'] in runs:
                broken.append(
                    f'LOST: {request["id"]}, sent {after_s:.2f} s after '
                    f'SIGTERM to {request["address"]}, was passed on to a '
                    f'server and cut after '
                    f'{request["ended_s"] - request["sent_s"]:.2f} s'
                )
        served = sum(request['status'] == 200 for request in sent)
        record(f'{len(sent)} requests sent, {served} served')
        if not served:
            raise kit.CannotRunError('no request was served')
        return broken


if __name__ == '__main__':
    sys.exit(kit.run_case(FOLDER, case))
