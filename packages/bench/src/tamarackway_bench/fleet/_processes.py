"""Starts, pauses and ends processes."""

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
    """Processes by name, with their output in files.

    :param folder: where the output goes.
    """

    def __init__(self, folder: Path) -> None:
        """Start without processes."""
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, arguments: list[str]) -> None:
        """Start a Python module.

        :param name: name of the process.
        :param module: module to run.
        :param arguments: its command line.
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
        """Return the file with the output of a process."""
        return self._folder / f'{name}.log'

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process runs."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process.

        :param name: name of the process.
        :param signal_number: the signal.
        """
        self._running[name].send_signal(signal_number)

    async def kill(self, name: str) -> None:
        """End a process without warning."""
        self._running[name].kill()
        await self.wait(name)

    async def wait(self, name: str) -> int:
        """Wait until a process has ended and return its exit code."""
        process = self._running[name]
        while process.poll() is None:
            await anyio.sleep(_POLL_INTERVAL_S)
        return process.returncode

    async def stop_all(self) -> None:
        """End all processes."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for name in self._running:
            with anyio.move_on_after(_STOP_TIMEOUT_S):
                await self.wait(name)


class PortAllocator:
    """Finds ports that nothing listens on, each once.

    The ports are below those that the system gives to outgoing connections.
    """

    def __init__(self) -> None:
        """Start at a port that differs between processes."""
        self._next = _FIRST_PORT + os.getpid() * _PID_STRIDE % _PORT_COUNT

    def allocate(self, host: str) -> int:
        """Return a port that nothing listens on.

        :param host: IP number.
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
