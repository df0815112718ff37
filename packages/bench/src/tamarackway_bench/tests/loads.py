"""Background load while a scenario runs."""

import itertools
import time
from dataclasses import dataclass

import anyio
import uuid6

from tamarackway_bench.fleet import Caller, Fleet, Response

LOOK_UP_INTERVAL_S = 0.012
REPORT_INTERVAL_S = 0.04
MAX_SUBMISSIONS = 3
REFRESH_INTERVAL_S = 1
RETRY_DELAY_S = 0.3


@dataclass(frozen=True)
class LookUp:
    """A look-up and its final response."""

    region: str
    path: str
    sent_s: float
    response: Response


@dataclass(frozen=True)
class Submission:
    """One submission of a report and its response."""

    key: str
    attempt: int
    entry_address: str
    took_s: float
    response: Response


class LookUpLoad:
    """Sends look-ups from all regions in turn."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = False
        self._callers: dict[str, Caller] = {}
        self.look_ups: list[LookUp] = []
        self.failed_sends = 0

    async def run(self) -> None:
        for region in self._fleet.layout.spec.regions:
            self._callers[region] = self._fleet.caller(region)
            await self._callers[region].discover_entries(region)
        async with anyio.create_task_group() as background:
            for caller in self._callers.values():
                background.start_soon(_refresh_entries, caller)
            await self._send_all()
            background.cancel_scope.cancel()
        for caller in self._callers.values():
            await caller.close()

    async def _send_all(self) -> None:
        regions = self._fleet.layout.spec.regions
        async with anyio.create_task_group() as senders:
            for number in itertools.count():
                if self._stopping:
                    break
                region = regions[number % len(regions)]
                senders.start_soon(self._look_up, region, f'nets/{number}')
                await anyio.sleep(LOOK_UP_INTERVAL_S)

    async def _look_up(self, region: str, path: str) -> None:
        sent_s = time.monotonic()
        caller = self._callers[region]
        failed_before = caller.failed_sends
        service = self._fleet.layout.spec.services[0].name
        response = await caller.look_up(service, path)
        if response.status == 0:
            await caller.discover_entries(region)
        self.failed_sends += caller.failed_sends - failed_before
        self.look_ups.append(LookUp(region, path, sent_s, response))

    def stop(self) -> None:
        self._stopping = True


class ReportLoad:
    """Sends reports, each retried at other instances until it ran.

    A report is submitted at most ``MAX_SUBMISSIONS`` times.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stopping = False
        self.submissions: list[Submission] = []

    async def run(self) -> None:
        caller = self._fleet.caller()
        await caller.discover_entries()
        service = self._fleet.layout.spec.services[1].name

        async def submit_with_retries(offset: int) -> None:
            key = str(uuid6.uuid7())
            body = f'report {key}'.encode()
            for attempt in range(1, MAX_SUBMISSIONS + 1):
                entries = caller.known_entries
                address = entries[(offset + attempt) % len(entries)]
                started_s = time.monotonic()
                response = await caller.send_at_most_once(
                    service,
                    body,
                    key,
                    address,
                    attempt,
                )
                took_s = time.monotonic() - started_s
                self.submissions.append(
                    Submission(key, attempt, address, took_s, response),
                )
                if response.outcome == 'ran':
                    return
                await anyio.sleep(RETRY_DELAY_S)

        async with anyio.create_task_group() as background:
            background.start_soon(_refresh_entries, caller)
            async with anyio.create_task_group() as senders:
                for number in itertools.count():
                    if self._stopping:
                        break
                    senders.start_soon(submit_with_retries, number)
                    await anyio.sleep(REPORT_INTERVAL_S)
            background.cancel_scope.cancel()
        await caller.close()

    def stop(self) -> None:
        self._stopping = True


async def _refresh_entries(caller: Caller) -> None:
    """Refresh known entry instances before their lifetime ends.

    If none responds, the last known ones are kept.
    """
    while True:
        await anyio.sleep(REFRESH_INTERVAL_S)
        entries = list(caller.known_entries)
        if not await caller.discover_entries():
            caller.known_entries = entries
