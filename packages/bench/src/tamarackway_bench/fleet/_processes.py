"""Child processes and port allocation."""

import os
import signal
import socket
import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
from pathlib import Path
from typing import Final

import anyio

_POLL_INTERVAL_S: Final = 0.05
_STOP_TIMEOUT_S: Final = 20.0
_FIRST_PORT: Final = 10_000
_PORT_COUNT: Final = 20_000
_PID_STRIDE: Final = 401


class Processes:
    """Child processes by name, each logging to its own file.

    :param folder: directory for the log files.
    """

    def __init__(self, folder: Path) -> None:
        """Start with no processes."""
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, arguments: list[str]) -> None:
        """Run a Python module as a child process.

        :param name: name of the process.
        :param module: module to run.
        :param arguments: command-line arguments.
        """
        log = self.log_path(name).open('ab')
        self._running[name] = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def log_path(self, name: str) -> Path:
        """Return the path of a process's log file."""
        return self._folder / f'{name}.log'

    def pid(self, name: str) -> int:
        """Return the process ID."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process.

        :param name: name of the process.
        :param signal_number: signal to send.
        """
        self._running[name].send_signal(signal_number)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its exit."""
        self._running[name].kill()
        await self.wait(name)

    async def wait(self, name: str) -> int:
        """Wait for a process to exit and return its exit code."""
        process = self._running[name]
        while process.poll() is None:
            await anyio.sleep(_POLL_INTERVAL_S)
        return process.returncode

    async def stop_all(self) -> None:
        """Kill all processes, suspended ones included."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for name in self._running:
            with anyio.move_on_after(_STOP_TIMEOUT_S):
                await self.wait(name)


class PortAllocator:
    """Allocates unused ports, each at most once.

    They lie below the ephemeral port range, so that outgoing connections
    cannot take them.
    """

    def __init__(self) -> None:
        """Start at a port that differs between concurrent test runs."""
        self._next = _FIRST_PORT + os.getpid() * _PID_STRIDE % _PORT_COUNT

    def allocate(self, host: str) -> int:
        """Return an unused port.

        :param host: IP address to bind to.
        """
        self._next += 1
        while not _is_unused(host, self._next):
            self._next += 1
        return self._next


def _is_unused(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
