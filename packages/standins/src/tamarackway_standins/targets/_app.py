"""ASGI application of the fake target."""

import json
import os
import random
import time
from collections import deque
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any, Final

import anyio

from tamarackway_standins.faults._middleware import read_body, send_json
from tamarackway_standins.targets._model import TargetFaults, TargetSettings

_Message = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]
_COLD_FACTOR: Final = 2
_MAX_LOAD_SAMPLES: Final = 1000
_POISON: Final = b'poison'
_MS_PER_S: Final = 1000


class TargetApp:
    """A target that runs requests in slots and applies the active faults.

    :param settings: fixed properties of the target.

    A request whose body or query string contains ``poison`` kills the process.
    """

    def __init__(self, settings: TargetSettings) -> None:
        """Create a target with all slots free and no active fault."""
        self.faults = TargetFaults()
        self._settings = settings
        self._rng = random.Random(settings.seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        self._started_s = time.monotonic()
        self._slots = anyio.Semaphore(settings.slots)
        self._waiting = 0
        self._running = 0
        self._runs = 0
        self._loads: deque[tuple[float, int]] = deque(maxlen=_MAX_LOAD_SAMPLES)
        self._cancelled = 0

    async def __call__(
        self,
        scope: _Message,
        receive: _Receive,
        send: _Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        if scope['path'] == '/faults':
            if scope['method'] == 'PUT':
                changes = json.loads(await read_body(receive))
                self.faults = replace(self.faults, **changes)
            await send_json(send, 200, asdict(self.faults))
        elif scope['path'] == '/health':
            await send_json(send, 200, self._health())
        else:
            await self._handle_request(scope, receive, send)

    def _health(self) -> dict[str, Any]:
        reported = self.faults.reported_load
        return {
            'state': 'leaving' if self.faults.leaving else 'live',
            'load': self._lagged_load() if reported < 0 else reported,
            'runs': self._runs,
            'cancelled': self._cancelled,
        }

    def _lagged_load(self) -> int:
        """Return the load as it was ``report_lag_s`` ago."""
        sampled_s = time.monotonic() - self.faults.report_lag_s
        samples = [load for at_s, load in self._loads if at_s <= sampled_s]
        return samples[-1] if samples else 0

    def _change_load(self, change: int) -> None:
        self._running += change
        self._loads.append((time.monotonic(), self._running))

    async def _handle_request(
        self,
        scope: _Message,
        receive: _Receive,
        send: _Send,
    ) -> None:
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        body = await read_body(receive)
        is_full = self._waiting >= self._settings.queue
        if self.faults.shed or (is_full and self._slots.value == 0):
            await self._send_shed(send, headers)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._cancel_on_disconnect, receive, group.cancel_scope
            )
            await self._run_in_slot(scope, headers, body, send)
            group.cancel_scope.cancel()

    async def _cancel_on_disconnect(
        self,
        receive: _Receive,
        scope: anyio.CancelScope,
    ) -> None:
        message = await receive()
        if message['type'] == 'http.disconnect':
            self._cancelled += 1
            scope.cancel()

    async def _run_in_slot(
        self,
        scope: _Message,
        headers: dict[str, str],
        body: bytes,
        send: _Send,
    ) -> None:
        timeout_s = float(headers.get('x-request-deadline-ms', '600000'))
        acquired = False
        self._waiting += 1
        try:
            with anyio.move_on_after(timeout_s / _MS_PER_S):
                await self._slots.acquire()
                acquired = True
        finally:
            self._waiting -= 1
        if not acquired:
            await self._send_shed(send, headers)
            return
        self._change_load(1)
        try:
            await self._execute(scope, headers, body)
        finally:
            self._change_load(-1)
            self._slots.release()
        await self._send_response(scope, headers, body, send)

    async def _execute(
        self,
        scope: _Message,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self._write_journal(scope, headers)
        if _POISON in body or _POISON in scope['query_string']:
            os._exit(1)
        self._runs += 1
        await anyio.sleep(self._draw_service_time_s())

    def _draw_service_time_s(self) -> float:
        service_s = self._rng.expovariate(1 / self._settings.work_s)
        if self._rng.random() < self.faults.straggler_share:
            service_s *= self.faults.straggler_factor
        if time.monotonic() - self._started_s < self._settings.cold_s:
            service_s *= _COLD_FACTOR
        return service_s * self.faults.slow_factor

    def _write_journal(self, scope: _Message, headers: dict[str, str]) -> None:
        if self._settings.journal:
            key = headers.get('idempotency-key', '-')
            line = f'{key} {self._settings.name} {scope["path"]}\n'
            with Path(self._settings.journal).open(
                'a', encoding='utf-8'
            ) as journal:
                journal.write(line)

    async def _send_response(
        self,
        scope: _Message,
        headers: dict[str, str],
        body: bytes,
        send: _Send,
    ) -> None:
        if self.faults.silent:
            await anyio.sleep_forever()
        await anyio.sleep(self.faults.late_s)
        request_id = headers.get('x-request-id', '')
        document = {
            'service': self._settings.service,
            'target': self._settings.name,
            'path': scope['path'],
            'echo': body.decode(errors='replace'),
            'request_id': request_id,
        }
        if self.faults.crossed:
            request_id = f'other-{request_id}'
            document['request_id'] = request_id
        content = json.dumps(document).encode()
        sent = content
        if self.faults.truncated:
            sent = content[: len(content) // 2]
        await send({
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', str(len(content)).encode()),
                (b'x-request-id', request_id.encode()),
                *self._state_headers(),
            ],
        })
        await send({'type': 'http.response.body', 'body': sent})

    async def _send_shed(self, send: _Send, headers: dict[str, str]) -> None:
        await send({
            'type': 'http.response.start',
            'status': 503,
            'headers': [
                (b'content-length', b'0'),
                (b'x-outcome', b'not-run'),
                (b'x-request-id', headers.get('x-request-id', '').encode()),
                *self._state_headers(),
            ],
        })
        await send({'type': 'http.response.body', 'body': b''})

    def _state_headers(self) -> list[tuple[bytes, bytes]]:
        if self.faults.leaving:
            return [(b'x-target-state', b'leaving')]
        return []
