"""Writes outcomes to the table without delaying the responses to callers."""

from collections import deque
from dataclasses import dataclass, replace
from typing import Final

import anyio
from tamarackway_core.once import (
    ClaimState,
    Dispatch,
    Outcome,
    RunResult,
)

from tamarackway_entry.once._batcher import ClaimBatcher, Failed
from tamarackway_entry.platform import ObjectStore, StoreUnavailableError
from tamarackway_entry.telemetry import component_logger

_MAX_INLINE_BYTES: Final = 65_536
_MAX_PENDING: Final = 5000
_RETRY_INTERVAL_S: Final = 0.5
_log = component_logger('once')


@dataclass(frozen=True, slots=True)
class _Record:
    row_key: str
    claim: Dispatch
    result: RunResult


class OutcomeRecorder:
    """Persists outcomes so that they survive the loss of this instance.

    :param batcher: writes claim rows.
    :param objects: store of responses that are too long for a claim row.

    Unknown outcomes are not recorded: the row stays claimed, and later
    attempts with the same key receive an unknown outcome.
    """

    def __init__(self, batcher: ClaimBatcher, objects: ObjectStore) -> None:
        """Start with an empty queue."""
        self._batcher = batcher
        self._objects = objects
        self._pending: deque[_Record] = deque()
        self._in_flight = 0
        self._arrived = anyio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether no outcome is queued or being written."""
        return not self._pending and not self._in_flight

    def record(
        self,
        row_key: str,
        claim: Dispatch,
        result: RunResult,
    ) -> None:
        """Queue an outcome to be written, unless it is unknown.

        :param row_key: key of the claim row.
        :param claim: the claim that the request ran under.
        :param result: result of the run.
        """
        if result.outcome == Outcome.UNKNOWN:
            return
        if len(self._pending) >= _MAX_PENDING:
            dropped = self._pending.popleft()
            _log.error(
                'The outcome queue is full; dropped the outcome of %s.',
                dropped.row_key,
            )
        self._pending.append(_Record(row_key, claim, result))
        self._arrived.set()

    async def run(self) -> None:
        """Write queued outcomes until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._arrived.wait()
                self._arrived = anyio.Event()
                while self._pending:
                    record = self._pending.popleft()
                    self._in_flight += 1
                    group.start_soon(self._write, record)

    async def _write(self, record: _Record) -> None:
        try:
            stored = await self._try_write(record)
        except StoreUnavailableError:
            stored = False
        if not stored:
            await anyio.sleep(_RETRY_INTERVAL_S)
            self._pending.append(record)
            self._arrived.set()
        self._in_flight -= 1

    async def _try_write(self, record: _Record) -> bool:
        response = record.result.answer
        is_current = record.claim.history == self._batcher.history
        if response is None and not is_current:
            # The restored table may hold a later claim at that revision.
            _log.info('Claim %s was lost with its history.', record.row_key)
            return True
        # FREE: not run, so an attempt with a higher number may replace it
        row = replace(record.claim.row, state=ClaimState.FREE)
        if response is not None:
            row = replace(
                row,
                state=ClaimState.RAN,
                status=response.status,
                content_type=response.content_type,
                body=response.body,
            )
            if len(response.body) > _MAX_INLINE_BYTES:
                object_key = f'answers/{row.token}'
                await self._objects.put(object_key, response.body)
                row = replace(row, body=b'', object_key=object_key)
        write_result = await self._batcher.write(
            record.row_key,
            row,
            record.claim.revision if is_current else 0,
        )
        return not isinstance(write_result, Failed)
