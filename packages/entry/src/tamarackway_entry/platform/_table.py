"""Client of the transactional table service."""

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import anyio
import msgspec
from tamarackway_core.recovery import CircuitBreaker

from tamarackway_entry.http import (
    ConnectionPool,
    HttpError,
    HttpRequest,
    HttpResponse,
    NotSentError,
)
from tamarackway_entry.kernel import Clock
from tamarackway_entry.store import (
    StoreInDoubtError,
    StoreUnavailableError,
)
from tamarackway_entry.telemetry import Metrics, component_logger

ANY_REVISION: Final = None
_OK: Final = 200
_CONFLICT: Final = 409
_TOO_MANY_REQUESTS: Final = 429
_PROBE_INTERVAL_S: Final = 0.5
_BREAKER_CHECK_INTERVAL_S: Final = 0.1
_PROBE_KEY: Final = 'probe'
_JSON: Final = 'application/json'
_FIRST_HISTORY: Final = 1
_log = component_logger('table')


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    :param revision: increases with each write of the row; 0 if it is absent.
    :param value: a JSON value, or None if the row is absent.
    """

    revision: int
    value: Any = None


@dataclass(frozen=True, slots=True)
class Operation:
    """A conditional write in a transaction.

    :param key: key of the row.
    :param value: new JSON value, or None to delete the row.
    :param expect: revision that the row must have, 0 if it must be absent,
        or :data:`ANY_REVISION`.
    :param history: history of the table to which that revision belongs, or
        None if it does not matter.
    """

    key: str
    value: Any
    expect: int | None = ANY_REVISION
    history: int | None = None


@dataclass(frozen=True, slots=True)
class Conflict:
    """An operation whose expected revision did not match.

    :param index: position of the operation in its transaction.
    :param key: key of the row.
    :param row: the current row, or None if it is absent.
    """

    index: int
    key: str
    row: Row | None

    @property
    def current(self) -> Row:
        """The current row, with revision 0 if it is absent."""
        return self.row or Row(0)


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction was committed.

    :param revision: new revision of its rows.
    """

    revision: int


class TableService:
    """Client of the table, guarded by a circuit breaker.

    The table may be restored from an older copy, which begins a new history:
    revisions go back and are given out again. ``history`` is the newest known
    one, and ``history_began_s`` a time in seconds since the epoch at which it
    had begun, minus infinity if the table was never restored.

    :param pool: connections to the table.
    :param timeout_s: request timeout in seconds.
    :param clock: clocks of the daemon.
    :param metrics: metrics of the daemon.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        timeout_s: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start with a closed circuit breaker."""
        self._pool = pool
        self._timeout_s = timeout_s
        self._clock = clock
        self._metrics = metrics
        self._breaker = CircuitBreaker(_PROBE_INTERVAL_S)
        self.history = _FIRST_HISTORY
        self.history_began_s = -math.inf

    @property
    def is_up(self) -> bool:
        """Whether the circuit breaker is closed."""
        return not self._breaker.is_open

    async def run(self) -> None:
        """Probe the table while the circuit breaker is open."""
        while True:
            await anyio.sleep(_BREAKER_CHECK_INTERVAL_S)
            now_s = self._clock.now_s()
            if self._breaker.is_open and not self._breaker.wait_s(now_s):
                await self._probe()

    async def transact(
        self,
        operations: Sequence[Operation],
    ) -> Committed | list[Conflict]:
        """Apply all operations atomically.

        :param operations: the writes.
        :returns: the conflicts if the transaction was rejected.
        :raises StoreUnavailableError: if no operation was or will be applied.
        :raises StoreInDoubtError: if the operations may have been applied or
            may still be applied.
        """
        self._raise_if_unavailable()
        sent_in = self.history
        if any(each.history not in {None, sent_in} for each in operations):
            raise StoreUnavailableError('the table was restored from a copy')
        self._metrics.table_writes.inc()
        body = {
            'operations': [
                {
                    'key': operation.key,
                    'value': operation.value,
                    'expect': operation.expect,
                }
                for operation in operations
            ],
        }
        response = await self._call('POST', '/v1/transactions', body)
        document = json.loads(response.body)
        self._record_history(document)
        if response.status == _OK and sent_in != self.history:
            # An expected revision may have been that of another row.
            raise StoreInDoubtError('the table was restored meanwhile')
        if response.status == _OK:
            return Committed(document['revision'])
        return msgspec.convert(document['conflicts'], list[Conflict])

    async def read(
        self,
        keys: Sequence[str],
        *,
        bypass_breaker: bool = False,
    ) -> list[Row]:
        """Return rows, in the order of their keys.

        :param keys: keys of the rows.
        :param bypass_breaker: send the request even if the circuit breaker is
            open.
        :raises StoreUnavailableError: if the table does not answer.
        """
        if not bypass_breaker:
            self._raise_if_unavailable()
        query = urlencode([('key', key) for key in keys])
        document = await self._get(f'/v1/rows?{query}')
        rows = msgspec.convert(document['rows'], list[Row | None])
        return [row or Row(0) for row in rows]

    async def scan(self, prefix: str, limit: int) -> dict[str, Row]:
        """Return rows by key, in the order of the keys.

        :param prefix: common prefix of the keys.
        :param limit: maximum number of rows.
        :raises StoreUnavailableError: if the table does not answer.
        """
        self._raise_if_unavailable()
        query = urlencode({'prefix': prefix, 'limit': limit})
        document = await self._get(f'/v1/scan?{query}')
        return {
            found['key']: msgspec.convert(found['row'], Row)
            for found in document['rows']
        }

    async def _get(self, path: str) -> Any:
        try:
            response = await self._call('GET', path, None)
        except StoreInDoubtError as error:
            raise StoreUnavailableError(error.problem) from error
        document = json.loads(response.body)
        try:
            self._record_history(document)
        except StoreInDoubtError as error:
            raise StoreUnavailableError(error.problem) from error
        return document

    async def _call(
        self,
        method: str,
        path: str,
        document: Any,
    ) -> HttpResponse:
        body = b'' if document is None else json.dumps(document).encode()
        request = HttpRequest(
            method,
            path,
            {'content-type': _JSON},
            body,
            self._timeout_s,
        )
        try:
            response = await self._pool.send(request)
        except NotSentError as error:
            self._record_failure(error)
            raise StoreUnavailableError(str(error)) from error
        except HttpError as error:
            self._record_failure(error)
            raise StoreInDoubtError(str(error)) from error
        if response.status == _TOO_MANY_REQUESTS:
            raise StoreUnavailableError('the table is over its rate limit')
        if response.status not in {_OK, _CONFLICT}:
            problem = f'the table answered with status {response.status}'
            self._record_failure(problem)
            raise StoreUnavailableError(problem)
        self._record_success()
        return response

    async def _probe(self) -> None:
        try:
            await self.read([_PROBE_KEY], bypass_breaker=True)
        except StoreUnavailableError:
            return

    def _record_history(self, document: Any) -> None:
        """Update the history from a response, or discard an older response."""
        history = document.get('history', _FIRST_HISTORY)
        if history < self.history:
            raise StoreInDoubtError('the response is of an ended history')
        if history > self.history:
            self.history_began_s = self._clock.time_s()
            _log.warning('The table was restored; history %d.', history)
        self.history = history

    def _raise_if_unavailable(self) -> None:
        if self._breaker.is_open:
            raise StoreUnavailableError('the table is down')

    def _record_failure(self, problem: object) -> None:
        if not self._breaker.is_open:
            _log.warning('The table is unavailable: %s.', problem)
        self._breaker.record_failure(self._clock.now_s())

    def _record_success(self) -> None:
        if self._breaker.is_open:
            _log.info('The table is available again.')
        self._breaker.record_success()
