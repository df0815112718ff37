"""Starts, pauses and ends processes."""

import signal
import socket
import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
from pathlib import Path
from typing import Final

import anyio

_POLL_S: Final = 0.05
_STOP_S: Final = 20.0


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

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process.

        :param name: name of the process.
        :param number: the signal.
        """
        self._running[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """End a process without warning."""
        self._running[name].kill()
        await self.wait(name)

    async def wait(self, name: str) -> int:
        """Wait until a process has ended and return its exit code."""
        process = self._running[name]
        while process.poll() is None:
            await anyio.sleep(_POLL_S)
        return process.returncode

    async def stop_all(self) -> None:
        """End all processes."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for name in self._running:
            with anyio.move_on_after(_STOP_S):
                await self.wait(name)


class FreePorts:
    """Finds ports that nothing listens on, each once."""

    def __init__(self) -> None:
        """Start without known ports."""
        self._found: set[int] = set()

    def find(self, host: str) -> int:
        """Return a port that nothing listens on.

        :param host: IP number.
        """
        port = _bind_any(host)
        while port in self._found:
            port = _bind_any(host)
        self._found.add(port)
        return port


def _bind_any(host: str) -> int:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port
