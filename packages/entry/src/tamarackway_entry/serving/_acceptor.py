"""Accepts connections, and refuses requests while the instance is behind."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from tamarackway_core.places import Address

from tamarackway_entry.serving._admission import AdmissionGate
from tamarackway_entry.telemetry import component_logger

_MAX_ACCEPTED: Final = 128  # in one turn of the event loop
_MAX_HELD_S: Final = 1.0  # then a connection gets the usual time-outs
_RETRY_S: Final = 0.2  # after an error, such as too many open files
_log = component_logger('server')


class Acceptor:
    """Accepts connections on one address.

    :param address: the address.
    :param backlog: connections that the operating system may hold.
    :param create_protocol: creates the protocol of a connection.
    :param gate: decides which requests are refused.
    """

    def __init__(
        self,
        address: Address,
        backlog: int,
        create_protocol: Callable[[], asyncio.Protocol],
        gate: AdmissionGate,
    ) -> None:
        """Do not listen yet."""
        self._address = address
        self._backlog = backlog
        self._create_protocol = create_protocol
        self._gate = gate
        self._listener: socket.socket | None = None
        self._opening: set[asyncio.Task[None]] = set()
        self._held: set[socket.socket] = set()

    def open(self) -> None:
        """Start to listen.

        :raises OSError: if the address is in use.
        """
        family = (
            socket.AF_INET6 if ':' in self._address.host else socket.AF_INET
        )
        self._listener = socket.create_server(
            (self._address.host, self._address.port),
            family=family,
            backlog=self._backlog,
        )
        self._listener.setblocking(False)
        self._resume()

    def close(self) -> None:
        """Stop listening; connections that were accepted stay open."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        self._release()

    def _resume(self) -> None:
        if self._listener is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listener, self._accept, self._listener)

    def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(_MAX_ACCEPTED):
            try:
                opened, _peer = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                _log.warning(
                    'Cannot accept connections for %.1f s: %s.', _RETRY_S, error
                )
                loop.remove_reader(listener)
                loop.call_later(_RETRY_S, self._resume)
                return
            opened.setblocking(False)
            if self._gate.admits_connection():
                self._start(opened)
            elif not self._gate.refuse_unread(opened):
                self._hold(opened)

    def _hold(self, opened: socket.socket) -> None:
        """Wait for the request on a connection, to refuse it unread."""
        loop = asyncio.get_running_loop()
        if not self._held:
            loop.call_later(_MAX_HELD_S, self._release)
        self._held.add(opened)
        loop.add_reader(opened, self._decide, opened)

    def _decide(self, opened: socket.socket) -> None:
        """Refuse or serve the request that has come on a held connection."""
        asyncio.get_running_loop().remove_reader(opened)
        self._held.discard(opened)
        is_admitted = self._gate.admits_connection()
        if is_admitted or not self._gate.refuse_unread(opened):
            self._start(opened)

    def _release(self) -> None:
        """Serve held connections without a request like others."""
        for opened in tuple(self._held):
            asyncio.get_running_loop().remove_reader(opened)
            self._start(opened)
        self._held.clear()

    def _start(self, opened: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._connect(opened))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, opened: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._create_protocol, opened)
        except OSError as error:
            _log.info('A connection ended while it was opened: %s.', error)
            opened.close()
