"""Non-blocking log output with a bounded buffer."""

import logging
import os
from collections import deque
from typing import Final

_MAX_BUFFER_BYTES: Final = 262_144  # a few seconds of log lines under load
_RESERVED_SHARE: Final = 0.5  # reserved for warnings and errors


class BoundedLogHandler(logging.Handler):
    """Log handler that writes to a file descriptor without blocking.

    :param descriptor: destination; it is made non-blocking.

    Lines are buffered while the reader is slow. Once half of the buffer is
    full, only warnings and errors are kept. Dropped lines are counted, and
    the count is exported as a metric.
    """

    def __init__(self, descriptor: int) -> None:
        """Start with an empty buffer."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffer_bytes = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line or count it as dropped, then flush."""
        try:
            line = f'{self.format(record)}\n'.encode()
        except Exception:
            self.handleError(record)
            return
        limit: float = _MAX_BUFFER_BYTES
        if record.levelno < logging.WARNING:
            limit *= 1 - _RESERVED_SHARE
        if self._buffer_bytes + len(line) > limit:
            self.dropped += 1
        else:
            self._buffer.append(line)
            self._buffer_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; the lines cannot be delivered.
                self._buffer.clear()
                self._buffer_bytes = 0
                return
            self._buffer_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
