"""Log output that neither blocks nor grows without bound."""

import logging
import os
from collections import deque
from typing import Final

_MAX_WAITING_BYTES: Final = 262_144  # a few seconds of lines under load
_RESERVED_SHARE: Final = 0.5  # kept for warnings and errors


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor as far as it takes them.

    :param descriptor: where lines go; it is made non-blocking.

    Lines wait in a bounded buffer while the reader is slow. Once half of it
    is full, only warnings and errors are kept; what is dropped is counted and
    told when there is room again.
    """

    def __init__(self, descriptor: int) -> None:
        """Start with an empty buffer."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it, or drop and count it."""
        try:
            line = f'{self.format(record)}\n'.encode()
        except Exception:
            self.handleError(record)
            return
        limit: float = _MAX_WAITING_BYTES
        if record.levelno < logging.WARNING:
            limit *= 1 - _RESERVED_SHARE
        if self._waiting_bytes + len(line) > limit:
            self.dropped += 1
        else:
            self._waiting.append(line)
            self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; nothing is left to tell them.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
