"""Sends requests before and after an entry instance is killed."""

import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
import tempfile
from pathlib import Path
from typing import Final

import anyio
import uuid6

from tamarackway_bench.fleet import SKALNI, Caller, Fleet, Response

_EXAMPLES: Final = Path(__file__).parents[5] / 'examples'
_OK: Final = 200
_SETTLE_S: Final = 3.0


class DemoError(Exception):
    """A step of the demonstration failed."""


async def run_demo() -> None:
    """Run the demonstration.

    :raises DemoError: if a step fails.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(SKALNI, Path(folder)) as fleet:
            await _Demo(fleet).run()


class _Demo:
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._caller = fleet.caller('Bohemia')
        self._admin = fleet.layout.entries[1].admin.address

    async def run(self) -> None:
        layout = self._fleet.layout
        _print_line(f'started {len(layout.entries)} entry instances')
        _print_line(f'started {len(layout.targets)} targets and the platform')
        sheet = _EXAMPLES / self._fleet.layout.spec.sheet
        _print_line((await self._run_ctl('plan', 'submit', str(sheet))).strip())
        await self._fleet.wait_ready()
        _print_line('all entry instances are ready')
        await self._caller.discover_entries('Bohemia')
        await self._send_requests('before the kill')
        await self._kill_entry()
        await self._send_requests('after the kill')
        _print_line(await self._run_ctl('status'))
        await self._caller.close()

    async def _send_requests(self, phase: str) -> None:
        lookup = await self._caller.look_up('status-lookup', 'nets/17')
        _check_response(lookup, f'look-up {phase}')
        key = str(uuid6.uuid7())
        report = await self._send_report(self._caller, key)
        _check_response(report, f'defect report {phase}')
        resend = await self._send_report(self._caller, key)
        _check_response(resend, f'resend of the report {phase}')
        runs = [
            line for line in self._fleet.read_journal() if line.startswith(key)
        ]
        if len(runs) != 1:
            raise DemoError(
                f'the report {phase} ran {len(runs)} times instead of once'
            )
        _print_line(f'the report {phase} ran exactly once')
        for response in (lookup, report):
            _print_line(await self._run_ctl('explain', response.request_id))

    async def _send_report(self, caller: Caller, key: str) -> Response:
        body = b'net 17 is torn'
        return await caller.send_at_most_once('defect-report', body, key)

    async def _kill_entry(self) -> None:
        killed = next(
            entry
            for entry in self._fleet.layout.entries
            if entry.callers.relay_address == self._caller.known_entries[0]
        )
        await self._fleet.kill(killed.name)
        _print_line(f'killed entry instance {killed.name}')
        await anyio.sleep(_SETTLE_S)
        self._caller.known_entries = self._caller.known_entries[1:]
        entries = await self._caller.discover_entries('Bohemia')
        if killed.callers.relay_address in entries:
            raise DemoError(
                'callers are still referred to the killed entry instance'
            )
        _print_line('callers are referred to other entry instances')

    async def _run_ctl(self, *arguments: str) -> str:
        completed = await anyio.run_process(
            [sys.executable, '-m', 'tamarackway_ctl', *arguments],
            env={
                'TAMARACKCTL_ENTRY': self._admin,
                'TAMARACKCTL_TOKEN': self._fleet.token,
                'COLUMNS': '120',
            },
            check=False,
            stderr=subprocess.STDOUT,
        )
        output = completed.stdout.decode()
        if completed.returncode:
            raise DemoError(f'tamarackctl {arguments} failed: {output}')
        return output


def _check_response(response: Response, description: str) -> None:
    if response.status != _OK or response.outcome != 'ran':
        raise DemoError(
            f'{description}: status {response.status}, {response.body!r}'
        )
    target = response.json()['target']
    _print_line(f'{description}: answered by {target}')


def _print_line(text: str) -> None:
    print(text, flush=True)
