"""Serves a look-up and a report, loses an entry instance and explains."""

import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
import tempfile
from pathlib import Path
from typing import Final

import anyio
import uuid6

from tamarackway_bench.fleet import SKALNI, Caller, Fleet, Reply

_SHEETS: Final = Path(__file__).parents[5] / 'examples'
_OK: Final = 200
_SETTLE_S: Final = 3.0


class DemoError(Exception):
    """A step of the demonstration did not hold."""


async def run_demo() -> None:
    """Run the demonstration.

    :raises DemoError: if a step does not hold.
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
        _say(f'started {len(layout.entries)} entry instances')
        _say(f'started {len(layout.targets)} targets and the platform')
        sheet = _SHEETS / self._fleet.layout.spec.sheet
        _say((await self._ctl('plan', 'submit', str(sheet))).strip())
        await self._fleet.wait_ready()
        _say('all entry instances are ready')
        await self._caller.ask('Bohemia')
        await self._serve('before the loss')
        await self._lose_entry()
        await self._serve('after the loss')
        _say(await self._ctl('status'))
        await self._caller.close()

    async def _serve(self, when: str) -> None:
        lookup = await self._caller.look_up('status-lookup', 'nets/17')
        _check(lookup, f'look-up {when}')
        key = str(uuid6.uuid7())
        report = await self._run_report(self._caller, key)
        _check(report, f'defect report {when}')
        resend = await self._run_report(self._caller, key)
        _check(resend, f'resend of the report {when}')
        runs = [
            line for line in self._fleet.read_journal() if line.startswith(key)
        ]
        if len(runs) != 1:
            raise DemoError(f'the report {when} ran {len(runs)} times')
        _say(f'the report {when} ran exactly once')
        for reply in (lookup, report):
            _say(await self._ctl('explain', reply.request_id))

    async def _run_report(self, caller: Caller, key: str) -> Reply:
        body = b'net 17 is torn'
        return await caller.run_once('defect-report', body, key)

    async def _lose_entry(self) -> None:
        lost = next(
            entry
            for entry in self._fleet.layout.entries
            if entry.callers.relay == self._caller.known[0]
        )
        await self._fleet.kill(lost.name)
        _say(f'killed entry instance {lost.name}')
        await anyio.sleep(_SETTLE_S)
        self._caller.known = self._caller.known[1:]
        known = await self._caller.ask('Bohemia')
        if lost.callers.relay in known:
            raise DemoError('callers are still told to use the lost entry')
        _say('callers are told to use other entry instances')

    async def _ctl(self, *arguments: str) -> str:
        finished = await anyio.run_process(
            [sys.executable, '-m', 'tamarackway_ctl', *arguments],
            env={
                'TAMARACKCTL_ENTRY': self._admin,
                'TAMARACKCTL_TOKEN': self._fleet.token,
                'COLUMNS': '120',
            },
            check=False,
            stderr=subprocess.STDOUT,
        )
        printed = finished.stdout.decode()
        if finished.returncode:
            raise DemoError(f'tamarackctl {arguments} failed: {printed}')
        return printed


def _check(reply: Reply, what: str) -> None:
    if reply.status != _OK or reply.outcome != 'ran':
        raise DemoError(f'{what}: status {reply.status}, {reply.body!r}')
    target = reply.document()['target']
    _say(f'{what}: answered by {target}')


def _say(text: str) -> None:
    print(text, flush=True)
