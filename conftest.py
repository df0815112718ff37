"""Shared test configuration: reproducible examples and known failures."""

import os
import threading
import time
from collections.abc import Generator
from pathlib import Path

import pytest
from hypothesis import settings

pytest_plugins = (
    'tamarackway_bench.tests.steps_fleet',
    'tamarackway_bench.tests.steps_once',
    'tamarackway_bench.tests.steps_plans',
    'tamarackway_bench.tests.steps_targets',
    'tamarackway_bench.tests.steps_interfaces',
)

KNOWN_RED = Path(__file__).parent / 'KNOWN-RED.txt'

WATCH_INTERVAL_S = 0.02
MIN_STALL_S = 0.1


class StallWatch(threading.Thread):
    """Records when this process did not run, or its threads held each other up.

    Stand-ins and callers of most tests are threads of this process, so that a
    stall looks like a late answer of the daemon.
    """

    def __init__(self) -> None:
        """Start without stalls."""
        super().__init__(daemon=True)
        self.stalls: list[tuple[float, float]] = []

    def run(self) -> None:
        """Watch until the process ends."""
        while True:
            started_s = time.monotonic()
            time.sleep(WATCH_INTERVAL_S)
            late_s = time.monotonic() - started_s - WATCH_INTERVAL_S
            if late_s >= MIN_STALL_S:
                self.stalls.append((started_s, late_s))

    def describe(self, since_s: float) -> str:
        """Return the stalls since a time, longest first."""
        stalls = [stall for stall in self.stalls if sum(stall) >= since_s]
        longest = sorted(stalls, key=lambda stall: -stall[1])
        shown = ', '.join(
            f'{late_s:.2f} s at {started_s - since_s:+.2f} s'
            for started_s, late_s in longest[:5]
        )
        return f'{len(stalls)} of at least {MIN_STALL_S} s: {shown or "-"}'


STALLS = StallWatch()
STALLS.start()
STARTED_S = pytest.StashKey[float]()

settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
)
settings.register_profile('fuzz', deadline=None, database=None)
settings.load_profile(
    'fuzz' if os.environ.get('TAMARACKWAY_FUZZ') else 'repeatable',
)


def _read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test ID."""
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {line.split('|')[0].strip(): line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of KNOWN-RED.txt as expected failures.

    The marks are not strict: these tests still run, and may pass.
    """
    known = _read_known_red()
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason=known[item.nodeid], strict=False)
            item.add_marker(mark)


def pytest_runtest_logstart() -> None:
    """Forget the stalls of earlier tests."""
    STALLS.stalls.clear()


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Tell with each failure whether this process itself was late."""
    report = yield
    started_s = item.stash.setdefault(STARTED_S, time.monotonic())
    if report.failed or hasattr(report, 'wasxfail'):
        load = f'load {os.getloadavg()[0]:.1f}'
        text = f'{STALLS.describe(started_s)}; {load}'
        report.sections.append(('Stalls of the test process', text))
    return report


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the entries of KNOWN-RED.txt after each run."""
    for line in _read_known_red().values():
        terminalreporter.write_line(f'KNOWN-RED: {line}')
