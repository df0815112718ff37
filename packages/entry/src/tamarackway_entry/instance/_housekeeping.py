"""Regular work that no request waits for."""

from typing import Final

import anyio

from tamarackway_entry.forwarding import (
    SteeringState,
    TargetBook,
    TargetSender,
)
from tamarackway_entry.telemetry import BoundedOutput, part_logger

_INTERVAL_S: Final = 0.2
_log = part_logger('daemon')


class Housekeeping:
    """Forgets what is gone and flushes logs.

    :param state: what this instance knows.
    :param book: takes targets.
    :param sender: holds connections to targets.
    :param output: log output.
    """

    def __init__(
        self,
        state: SteeringState,
        book: TargetBook,
        sender: TargetSender,
        output: BoundedOutput,
    ) -> None:
        """Remember the parts."""
        self._state = state
        self._book = book
        self._sender = sender
        self._output = output
        self._told_dropped = 0

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await anyio.sleep(_INTERVAL_S)
            self._book.remove_lapsed()
            self._sender.forget(self._state.catalogue.names)
            self._output.flush()
            self._tell_dropped()

    def _tell_dropped(self) -> None:
        dropped = self._output.dropped
        if dropped > self._told_dropped:
            self._told_dropped = dropped
            _log.warning('Log lines dropped so far: %d.', dropped)
