"""HTTP/1.1 protocol of uvicorn with bounds on what a client may send."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from tamarackway_entry.memory import PROCESS_BUDGET
from tamarackway_entry.serving._admission import AdmissionGate, PendingRequest
from tamarackway_entry.serving._caller import (
    CALLER_EXTENSION,
    READ_EXTENSION,
    ConnectionEnd,
)
from tamarackway_entry.serving._parser import RequestParser

# Of everything around bodies: heads, chunk sizes and trailers. Counted from
# the last byte of a body.
_MAX_FRAMING_BYTES: Final = 65_536
_MAX_HEADERS: Final = 256  # each takes some 150 bytes besides its content
_MAX_PIPELINED: Final = 8  # requests that wait for the responses before them
# Of the rest of a body whose request was answered early.
_MAX_DISCARDED_BYTES: Final = 67_108_864
_HEAD_TIMEOUT_S: Final = 10.0
_WRITE_TIMEOUT_S: Final = 30.0  # while the client hardly reads
_SMALL_BYTES: Final = 16_384  # of a head; thousands may come at once
_NO_MEMORY: Final = b'503 Service Unavailable'
_TIMEOUT: Final = b'408 Request Timeout'
_HEAD_TOO_LARGE: Final = b'431 Request Header Fields Too Large'


class _ExcessError(Exception):
    """The client sent more headers or requests than allowed."""


class _Timer:
    """Calls a function after a time, unless it is cancelled before."""

    def __init__(self) -> None:
        """Do not run yet."""
        self._handle: asyncio.TimerHandle | None = None

    def start(
        self, delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> None:
        """Start the timer, unless it runs."""
        if self._handle is None:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(delay_s, callback, *arguments)

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class BoundedHttpProtocol(HttpToolsProtocol):
    """Bounds the memory and the time that one connection may take.

    uvicorn's protocol keeps headers without a limit, also those that follow a
    body (trailers), and queues all requests that a client sends at once. It
    loses the body of a request that offers to switch protocols.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start without a request."""
        super().__init__(*arguments, **options)
        self.gate: AdmissionGate | None = None
        self.parser = RequestParser(self)  # type: ignore[assignment]
        self._running: RequestResponseCycle | None = None
        self._in_head = False
        self._is_head_too_large = False
        self._is_ending = False
        self._framing_bytes = 0
        self._counted_bytes = 0
        self._discarded_bytes = 0
        self._head_timer = _Timer()
        self._write_timer = _Timer()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request; called by the event loop."""
        super().connection_made(transport)  # type: ignore[arg-type]
        self._end = ConnectionEnd(transport)
        self._time_client()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection; called by the event loop."""
        self._unset_keepalive_if_required()
        self._head_timer.cancel()
        self._write_timer.cancel()
        self._framing_bytes = 0
        self._count_framing()
        # uvicorn tells only the newest request of the client.
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()
        super().connection_lost(exc)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        if self._is_ending:
            return
        self._framing_bytes += len(received)
        super().data_received(received)
        if self.transport.is_closing():
            return
        fits = self._count_framing()
        if self._framing_bytes > _MAX_FRAMING_BYTES:
            self._refuse(_HEAD_TOO_LARGE)
        elif fits:
            self._time_client()
        else:
            self._refuse(_NO_MEMORY)

    def pause_writing(self) -> None:
        """Wait for the client to read; called by the event loop."""
        super().pause_writing()
        self._write_timer.start(_WRITE_TIMEOUT_S, self.transport.abort)

    def resume_writing(self) -> None:
        """Continue to write; called by the event loop."""
        self._write_timer.cancel()
        super().resume_writing()

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        self._in_head = True
        super().on_message_begin()
        extensions: dict[str, Any] = {
            CALLER_EXTENSION: self._end.has_come,
            READ_EXTENSION: self.loop.time(),
        }
        self.scope['extensions'] = extensions

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, but no trailer; called by the parser."""
        if not self._in_head:
            return
        if len(self.headers) == _MAX_HEADERS:
            self._is_head_too_large = True
            raise _ExcessError
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start or queue a request; called by the parser."""
        if self.parser.should_upgrade():
            return  # the parser repeats the head
        if len(self.pipeline) == _MAX_PIPELINED:
            raise _ExcessError
        self._in_head = False
        self._framing_bytes = 0
        self._head_timer.cancel()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self._framing_bytes = 0
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self.transport.abort()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request; called by the parser."""
        if self.parser.should_upgrade():
            return
        self._framing_bytes = 0
        self._discarded_bytes = 0
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:  # noqa: WPS114
        """Refuse what is no valid request, and close the connection."""
        if self._is_head_too_large:
            self._refuse(_HEAD_TOO_LARGE)
        elif self._may_refuse():
            super().send_400_response(msg)
        else:
            self._end_after_responses()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        start = partial(super()._start_asgi_task, cycle)
        if self.gate is None:
            start(app)
        else:
            self.gate.submit(
                PendingRequest(self._end, start, app, self.transport.abort)
            )

    def _time_client(self) -> None:
        """Bound the time of a head, or until the next request.

        There is no bound while a response is due: its end sets the next one.
        """
        cycle = self.cycle
        if self._in_head:
            if self._may_refuse():
                self._head_timer.start(_HEAD_TIMEOUT_S, self._refuse, _TIMEOUT)
            return
        self._head_timer.cancel()
        is_idle = cycle is None or cycle.response_complete
        if is_idle and self.timeout_keep_alive_task is None:
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def _count_framing(self) -> bool:
        """Count the bytes that the parser holds; return whether they fit."""
        added_bytes = self._framing_bytes - self._counted_bytes
        if not added_bytes:
            return True
        self._counted_bytes = self._framing_bytes
        return PROCESS_BUDGET.add(
            added_bytes, self._framing_bytes, _SMALL_BYTES
        )

    def _refuse(self, status: bytes) -> None:
        if not self._may_refuse():
            self._end_after_responses()
            return
        self.transport.write(
            b'HTTP/1.1 %s\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
            % status
        )
        self.transport.close()

    def _may_refuse(self) -> bool:
        """Return whether the client takes a refusal for the right request.

        It would take one for the response to an earlier request if that is
        still to come, or get two responses to one request.
        """
        cycle = self.cycle
        if self._in_head:
            return cycle is None or cycle.response_complete
        if cycle is None:
            return True
        is_unanswered = not (cycle.response_started or self.pipeline)
        return cycle.more_body and is_unanswered

    def _end_after_responses(self) -> None:
        """Answer the requests that were received whole, then close."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete or cycle.more_body:
            self.transport.abort()
            return
        self._is_ending = True
        self._framing_bytes = 0
        self._count_framing()
        cycle.keep_alive = False
