"""Receiving signals without gaps in which they end the process."""

import signal
from collections.abc import AsyncIterator, Generator
from contextlib import contextmanager

import anyio


@contextmanager
def receive_signals(
    *numbers: signal.Signals,
) -> Generator[AsyncIterator[signal.Signals]]:
    """Receive signals, and ignore them once the context is left.

    By default they would end a process that is still writing its last
    responses.

    :param numbers: the signals.
    """
    try:
        with anyio.open_signal_receiver(*numbers) as received:
            yield received
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)
