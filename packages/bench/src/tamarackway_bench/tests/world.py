"""State and helpers shared by the steps of a scenario."""

import functools
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import Future
from http import HTTPStatus
from pathlib import Path
from typing import Any, TypeVar

import anyio
from anyio.from_thread import BlockingPortal

from tamarackway_bench.fleet import (
    Fleet,
    FleetSpec,
    Response,
    ServiceSpec,
    fetch,
)
from tamarackway_bench.tests.loads import LookUpLoad, ReportLoad

EXAMPLES = Path(__file__).parents[5] / 'examples'
FLEET_SPEC = FleetSpec(
    sheet='skalni-sit.csv',
    regions=('Bohemia', 'Moravia', 'Silesia'),
    services=(
        ServiceSpec('status-lookup', 6, 3),
        ServiceSpec('defect-report', 4, 3, 0.02),
        ServiceSpec('closure-order', 1, 3, 0.02),
    ),
    entries=6,
    domain_ms=0.5,
    region_ms=10,
)
LOOK_UP = 'status-lookup'
REPORT = 'defect-report'
_Result = TypeVar('_Result')


class World:
    """The fleet under test, the load on it and the last response."""

    def __init__(self, portal: BlockingPortal, folder: Path) -> None:
        self.portal = portal
        self.folder = folder
        self.sheet = (EXAMPLES / FLEET_SPEC.sheet).read_text(encoding='utf-8')
        self.fleet = Fleet(FLEET_SPEC, folder)
        self.look_ups: LookUpLoad | None = None
        self.reports: ReportLoad | None = None
        self.tasks: list[Any] = []
        self.last_response: Response = Response(0, {}, b'')
        self.elapsed_s = 0.0
        self.responses: list[Response] = []
        self.context: dict[str, Any] = {}
        self._started = False

    def start(self) -> None:
        self.call(self.fleet.__aenter__)
        self._started = True
        self.run_ctl('plan', 'submit', '-', stdin=self.sheet)
        self.call(self.fleet.wait_ready)
        entries = len(self.fleet.layout.entries)
        targets = len(self.fleet.layout.targets)
        for number in range(1, entries + 1):
            has_full_view = functools.partial(
                self._has_full_view, number, entries, targets
            )
            assert self.wait_until(has_full_view, 20)

    def _has_full_view(self, number: int, entries: int, targets: int) -> bool:
        response = self.send(
            self.admin_address(number),
            '/v1/status',
            headers={'authorization': f'Bearer {self.fleet.token}'},
        )
        if response.status != 200:
            return False
        status = response.json()
        live_entries = [
            entry for entry in status['entries'] if entry['state'] == 'live'
        ]
        return (
            len(live_entries) == entries and len(status['targets']) == targets
        )

    def close(self) -> None:
        self.stop_loads()
        if self._started:
            self.call(self.fleet.__aexit__, None, None, None)

    def call(
        self,
        function: Callable[..., Awaitable[_Result]],
        *arguments: Any,
    ) -> _Result:
        return self.portal.call(function, *arguments)

    def pause(self, seconds: float) -> None:
        time.sleep(seconds)

    def start_look_ups(self) -> None:
        self.look_ups = LookUpLoad(self.fleet)
        self.tasks.append(self.portal.start_task_soon(self.look_ups.run))

    def start_reports(self) -> None:
        self.reports = ReportLoad(self.fleet)
        self.tasks.append(self.portal.start_task_soon(self.reports.run))

    def stop_loads(self) -> None:
        for load in (self.look_ups, self.reports):
            if load is not None:
                load.stop()
        for task in self.tasks:
            task.result(timeout=60)
        self.tasks = []

    def entry_name(self, number: int) -> str:
        return self.fleet.layout.entries[number - 1].name

    def entry_address(self, number: int) -> str:
        return self.fleet.layout.entries[number - 1].callers.relay_address

    def admin_address(self, number: int = 1) -> str:
        return self.fleet.layout.entries[number - 1].admin.address

    def set_faults(self, name: str, **faults: Any) -> None:
        self.portal.call(lambda: self.fleet.set_faults(name, **faults))

    def fetch(self, address: str, path: str) -> Any:
        return self.call(fetch, 'GET', address, path)

    def send(
        self,
        address: str,
        path: str,
        method: str = 'GET',
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Response:
        async def send_request() -> Response:
            caller = self.fleet.caller()
            response = await caller.send(method, address, path, headers, body)
            self.elapsed_s = time.monotonic() - started_s
            await caller.close()
            return response

        started_s = time.monotonic()
        self.last_response = self.call(send_request)
        return self.last_response

    def start_reference_request(self, address: str) -> Future[float]:
        """Start a request that needs no routing decision, and time it.

        Sent concurrently with a measured request, it takes as long to connect
        and to get CPU time; the difference is the time of the decision.
        """
        return self.portal.start_task_soon(
            self._time_reference_request, address
        )

    async def _time_reference_request(self, address: str) -> float:
        caller = self.fleet.caller()
        started_s = time.monotonic()
        response = await caller.send('GET', address, '/livez')
        took_s = time.monotonic() - started_s
        await caller.close()
        assert response.status == HTTPStatus.OK, response
        return took_s

    def run_ctl(
        self,
        *arguments: str,
        stdin: str = '',
        entry: int = 1,
    ) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, '-m', 'tamarackway_ctl', *arguments],
            input=stdin,
            env={
                'TAMARACKCTL_ENTRY': self.admin_address(entry),
                'TAMARACKCTL_TOKEN': self.fleet.token,
            },
            capture_output=True,
            text=True,
            check=False,
        )

    def count_runs(self) -> Counter[str]:
        return Counter(line.split()[0] for line in self.fleet.read_journal())

    def wait_until(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if condition():
                return True
            time.sleep(0.02)
        return condition()

    def send_concurrently(
        self, requests: list[Callable[[], Awaitable[Response]]]
    ) -> None:
        async def run_all() -> list[Response]:
            responses: list[Response] = []

            async def send_one(send: Callable[[], Awaitable[Response]]) -> None:
                responses.append(await send())

            async with anyio.create_task_group() as group:
                for send in requests:
                    group.start_soon(send_one, send)
            return responses

        self.responses = self.call(run_all)
