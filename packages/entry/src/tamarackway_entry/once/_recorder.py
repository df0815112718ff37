"""Writes the outcomes of runs to the table, after the caller was answered."""

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
_MAX_WAITING: Final = 5000
_RETRY_S: Final = 0.5
_log = component_logger('once')


@dataclass(frozen=True, slots=True)
class _Record:
    row_key: str
    claim: Dispatch
    result: RunResult


class OutcomeRecorder:
    """Records outcomes, so that they outlive this instance.

    :param batcher: writes claim rows.
    :param objects: holds long answers.

    An outcome that cannot be known is not recorded: the claim stays as it is,
    and whoever meets it is told that the outcome is unknown.
    """

    def __init__(self, batcher: ClaimBatcher, objects: ObjectStore) -> None:
        """Start without records."""
        self._batcher = batcher
        self._objects = objects
        self._waiting: deque[_Record] = deque()
        self._under_way = 0
        self._arrived = anyio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether everything has been recorded."""
        return not self._waiting and not self._under_way

    def record(
        self,
        row_key: str,
        claim: Dispatch,
        result: RunResult,
    ) -> None:
        """Write an outcome soon.

        :param row_key: key of the claim row.
        :param claim: the claim.
        :param result: how the run ended.
        """
        if result.outcome == Outcome.UNKNOWN:
            return
        if len(self._waiting) >= _MAX_WAITING:
            dropped = self._waiting.popleft()
            _log.error('The outcome of %s is not stored.', dropped.row_key)
        self._waiting.append(_Record(row_key, claim, result))
        self._arrived.set()

    async def run(self) -> None:
        """Write outcomes until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._arrived.wait()
                self._arrived = anyio.Event()
                while self._waiting:
                    record = self._waiting.popleft()
                    self._under_way += 1
                    group.start_soon(self._write, record)

    async def _write(self, record: _Record) -> None:
        try:
            stored = await self._try_write(record)
        except StoreUnavailableError:
            stored = False
        if not stored:
            await anyio.sleep(_RETRY_S)
            self._waiting.append(record)
            self._arrived.set()
        self._under_way -= 1

    async def _try_write(self, record: _Record) -> bool:
        row = replace(record.claim.row, state=ClaimState.FREE)
        answer = record.result.answer
        if answer is not None:
            row = replace(
                row,
                state=ClaimState.RAN,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
            if len(answer.body) > _MAX_INLINE_BYTES:
                object_key = f'answers/{row.token}'
                await self._objects.put(object_key, answer.body)
                row = replace(row, body=b'', object_key=object_key)
        written = await self._batcher.write(
            record.row_key,
            row,
            record.claim.revision,
        )
        return not isinstance(written, Failed)
