"""A client leaves while it is still sending the body of its request."""

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import kit

REQUESTS = 50
LEAVING_EVERY = 5  # a share of 0.2 of the clients gives up
BODY = b'{"net":"km-114","finding":"torn mesh, two anchors loose","crew":"'
DEADLINE_MS = 2500


async def file_report(record, address, number, leaves):
    """Send one defect report; leave in the middle of the body if asked to."""
    request_id = f'{random.getrandbits(64):016x}'
    body = BODY + b'x' * (3000 - len(BODY) - 2) + b'"}'
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    path = f'/reports/{number}'
    chunked = number % 2 == 0
    framing = (
        'Transfer-Encoding: chunked'
        if chunked
        else f'Content-Length: {len(body)}'
    )
    head = (
        f'POST {path} HTTP/1.1\r\nHost: h.example\r\n'
        f'Request-Id: {request_id}\r\nCookie: Affinity-Key={number}\r\n'
        f'Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n'
    ).encode()
    sent = {'path': path, 'body': body, 'complete': not leaves}

    def piece(data):
        return b'%x\r\n%s\r\n' % (len(data), data) if chunked else data

    try:
        writer.write(head + piece(body[:1200]))
        await writer.drain()
        await asyncio.sleep(0.1)
        if leaves:
            record(
                f'client sends {request_id} POST {path}, 1200 of '
                f'{len(body)} bytes of the body ({framing}), and leaves'
            )
            return request_id, sent
        writer.write(piece(body[1200:]) + (b'0\r\n\r\n' if chunked else b''))
        await writer.drain()
        first, headers = await kit.read_head(reader)
        answer = await kit.read_body(reader, headers)
        record(
            f'client sends {request_id} POST {path}, whole body of '
            f'{len(body)} bytes ({framing}): {first} {answer!r}'
        )
    finally:
        writer.close()
    return request_id, sent


async def case(record):
    async with kit.Deployment(record, machines=3) as deployment:
        deployment.store.put(
            'op',
            'config',
            kit.make_config(
                3,
                [('/reports/', 'unsafe', 'defects', '2000ms')],
                ['defects'],
            ),
        )
        for number, zone in enumerate(kit.ZONES):
            await deployment.add_backend(f'i-{number}', 'defects', zone)
        await deployment.start_daemons()
        await asyncio.sleep(2)
        daemon = deployment.daemons[0]
        _, _, content = await kit.fetch(
            daemon.ip,
            daemon.directory,
            '/lookup?name=h.example&region=east&zone=east-a',
        )
        addresses = json.loads(content)['addresses']
        record(f'the directory names {addresses}')
        sent = {}
        for number in range(REQUESTS):
            leaves = kit.TROUBLE and number % LEAVING_EVERY == 0
            request_id, request = await file_report(
                record,
                random.choice(addresses),
                number,
                leaves,
            )
            sent[request_id] = request
        await asyncio.sleep(1)
        broken = []
        runs = [run for backend in deployment.backends for run in backend.runs]
        for request_id, method, target, body in runs:
            request = sent.get(request_id)
            if request is None:
                broken.append(f'UNASKED: {request_id} was never sent')
            elif (method, target, body) != (
                'POST',
                request['path'],
                request['body'],
            ):
                broken.append(
                    f'UNASKED: {request_id} ran with a body of {len(body)} '
                    f'bytes instead of {len(request["body"])}'
                )
        record(f'{len(sent)} requests sent, {len(runs)} run')
        if not runs:
            raise kit.CannotRunError('no request ran')
        return broken


if __name__ == '__main__':
    sys.exit(kit.run_case(FOLDER, case))
