"""Admission of requests that were read, so that an instance is not overrun."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Final, Protocol

from tamarackway_core.limits import AdmissionQueue

from tamarackway_entry.kernel import Clock
from tamarackway_entry.serving._caller import ConnectionEnd

# Keeps each turn of the event loop short, so that responses and the ends of
# connections are read in time.
_MAX_STARTED: Final = 8
_MAX_HEAD_BYTES: Final = 16_384
AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request whose head was read, which waits to be started.

    :param end: end of its connection.
    :param start: starts to serve it with an application.
    :param app: the application that serves requests.
    :param drop: ends its connection.
    """

    end: ConnectionEnd
    start: Callable[[AsgiApp], None]
    app: AsgiApp
    drop: Callable[[], None]


class Responder(Protocol):
    """Refuses requests in terms of the interface for callers."""

    async def refuse(self, scope: Any, receive: Any, send: Any) -> None:
        """Refuse a request; an ASGI application."""

    def encode_refusal(self, request: bytes) -> bytes | None:
        """Return the encoded refusal of a request, or None if it must be read.

        :param request: all bytes that came on a new connection.
        """


class AdmissionObserver(Protocol):
    """Records what the gate decides."""

    def record_departure(self) -> None:
        """Record a request whose caller left before it was started."""

    def record_backlog(self, waiting: int, *, is_behind: bool) -> None:
        """Record that a standing backlog has built up or is gone."""


class AdmissionGate:
    """Starts requests as fast as the instance works them off, oldest first.

    Requests whose callers have left are dropped. While there is a standing
    backlog, those that do not fit into a short queue are refused at once.

    :param clock: clocks of the daemon.
    :param responder: refuses requests.
    :param observer: records decisions.
    """

    def __init__(
        self, clock: Clock, responder: Responder, observer: AdmissionObserver
    ) -> None:
        """Start without requests."""
        self._responder = responder
        self._clock = clock
        self._observer = observer
        self._queue: AdmissionQueue[PendingRequest] = AdmissionQueue()
        self._started = 0
        self._connections = 0
        self._is_scheduled = False
        self._was_behind = False

    def submit(self, request: PendingRequest) -> None:
        """Start, queue or refuse a request.

        :param request: the request.
        """
        now_s = self._clock.now_s()
        if self._queue.is_full(now_s):
            self._refuse(request, now_s)
        elif self._started < _MAX_STARTED and not self._queue:
            self._started += 1
            request.start(request.app)
        else:
            self._queue.put(request, now_s)
        self._schedule()

    def admits_connection(self) -> bool:
        """Return whether the request of a new connection should be read.

        While the instance is behind, it reads no more of them in one turn of
        the event loop than it can start.
        """
        if not self._queue.is_behind(self._clock.now_s()):
            return True
        self._connections += 1
        self._schedule()  # the next turn admits others
        return self._connections <= _MAX_STARTED

    def refuse_unread(self, opened: socket.socket) -> bool:
        """Refuse the request that has come on a new connection.

        Without a parser and a transport, a refusal costs so little that the
        instance keeps its time for the requests that it serves.

        :param opened: socket of the connection.
        :returns: whether the request was refused and the connection closed.
        """
        try:
            request = opened.recv(_MAX_HEAD_BYTES, socket.MSG_PEEK)
        except OSError:
            return False  # nothing has come yet, or the connection was reset
        refusal = self._responder.encode_refusal(request)
        if refusal is None:
            return False
        self._queue.record_refusal(self._clock.now_s())
        with suppress(OSError):
            # Unread bytes would reset the connection before the refusal.
            opened.recv(len(request))
            opened.send(refusal)
        opened.close()
        return True

    def _refuse(self, request: PendingRequest, now_s: float) -> None:
        self._queue.record_refusal(now_s)
        request.start(self._responder.refuse)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_next)

    def _start_next(self) -> None:
        """Start waiting requests, once in each turn of the event loop."""
        self._is_scheduled = False
        self._started = 0
        self._connections = 0
        now_s = self._clock.now_s()
        for excess in self._queue.take_excess(now_s):
            self._refuse(excess, now_s)
        while self._queue and self._started < _MAX_STARTED:
            request = self._queue.take()
            if request.end.has_come():
                self._observer.record_departure()
                request.drop()
            else:
                self._started += 1
                request.start(request.app)
        if self._started:
            self._schedule()
        self._report()

    def _report(self) -> None:
        is_behind = self._queue.is_behind(self._clock.now_s())
        if is_behind != self._was_behind:
            self._was_behind = is_behind
            self._observer.record_backlog(len(self._queue), is_behind=is_behind)
