"""Client of the transactional table service."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import anyio
import msgspec
from tamarackway_core.recovery import CircuitBreaker

from tamarackway_entry.http import (
    ConnectionLostError,
    ConnectionPool,
    HttpRequest,
    HttpResponse,
    InvalidResponseError,
    NotSentError,
    TimedOutError,
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
_TOO_MANY: Final = 429
_PROBE_INTERVAL_S: Final = 0.5
_IDLE_PROBE_S: Final = 0.1
_PROBE_KEY: Final = 'probe'
_JSON: Final = 'application/json'
_log = component_logger('table')


@dataclass(frozen=True, slots=True)
class Row:
    """A row as the table holds it.

    :param revision: grows with each write of the row; 0 if it is absent.
    :param value: a JSON value, or None if the row is absent.
    """

    revision: int
    value: Any = None


@dataclass(frozen=True, slots=True)
class Operation:
    """One write of a transaction.

    :param key: key of the row.
    :param value: new JSON value, or None to delete the row.
    :param expect: revision that the row must have, 0 if it must be absent,
        or :data:`ANY_REVISION`.
    """

    key: str
    value: Any
    expect: int | None = ANY_REVISION


@dataclass(frozen=True, slots=True)
class Conflict:
    """An operation whose expectation did not hold.

    :param index: position of the operation in its transaction.
    :param key: key of the row.
    :param row: the row as it is.
    """

    index: int
    key: str
    row: Row | None

    @property
    def current(self) -> Row:
        """The row as it is, with revision 0 if it is absent."""
        return self.row or Row(0)


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction was applied.

    :param revision: revision that its rows have now.
    """

    revision: int


class TableService:
    """Calls the table, and refuses to while it is known to be down.

    :param pool: connections to the table.
    :param timeout_s: longest wait for an answer in seconds.
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
        """Start in the belief that the table is up."""
        self._pool = pool
        self._timeout_s = timeout_s
        self._clock = clock
        self._metrics = metrics
        self._breaker = CircuitBreaker(_PROBE_INTERVAL_S)

    @property
    def is_up(self) -> bool:
        """Whether the last call succeeded."""
        return not self._breaker.is_open

    async def run(self) -> None:
        """Probe the table while it is down, until cancelled."""
        while True:
            await anyio.sleep(_IDLE_PROBE_S)
            now_s = self._clock.now_s()
            if self._breaker.is_open and not self._breaker.wait_s(now_s):
                await self._probe()

    async def transact(
        self,
        operations: Sequence[Operation],
    ) -> Committed | list[Conflict]:
        """Apply all operations or none.

        :param operations: the writes.
        :returns: the operations that conflict if none was applied.
        :raises StoreUnavailableError: if none was or will be applied.
        :raises StoreInDoubtError: if they may be applied, now or later.
        """
        self._refuse_if_down()
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
        answer = await self._call('POST', '/v1/transactions', body)
        document = json.loads(answer.body)
        if answer.status == _OK:
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
        :param bypass_breaker: ask although the table is known to be down.
        :raises StoreUnavailableError: if the table does not answer.
        """
        if not bypass_breaker:
            self._refuse_if_down()
        query = urlencode([('key', key) for key in keys])
        document = await self._get(f'/v1/rows?{query}')
        rows = msgspec.convert(document['rows'], list[Row | None])
        return [row or Row(0) for row in rows]

    async def scan(self, prefix: str, limit: int) -> dict[str, Row]:
        """Return rows by key, in the order of the keys.

        :param prefix: what the keys start with.
        :param limit: most rows to return.
        :raises StoreUnavailableError: if the table does not answer.
        """
        self._refuse_if_down()
        query = urlencode({'prefix': prefix, 'limit': limit})
        document = await self._get(f'/v1/scan?{query}')
        return {
            found['key']: msgspec.convert(found['row'], Row)
            for found in document['rows']
        }

    async def _get(self, path: str) -> Any:
        try:
            answer = await self._call('GET', path, None)
        except StoreInDoubtError as error:
            raise StoreUnavailableError(error.problem) from error
        return json.loads(answer.body)

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
            answer = await self._pool.send(request)
        except NotSentError as error:
            self._record_failure(error)
            raise StoreUnavailableError(str(error)) from error
        except (
            ConnectionLostError,
            TimedOutError,
            InvalidResponseError,
        ) as error:
            self._record_failure(error)
            raise StoreInDoubtError(str(error)) from error
        if answer.status == _TOO_MANY:
            raise StoreUnavailableError('the table is over its rate limit')
        if answer.status not in {_OK, _CONFLICT}:
            problem = f'the table answered {answer.status}'
            self._record_failure(problem)
            raise StoreUnavailableError(problem)
        self._record_success()
        return answer

    async def _probe(self) -> None:
        try:
            await self.read([_PROBE_KEY], bypass_breaker=True)
        except StoreUnavailableError:
            return

    def _refuse_if_down(self) -> None:
        if self._breaker.is_open:
            raise StoreUnavailableError('the table is down')

    def _record_failure(self, problem: object) -> None:
        if not self._breaker.is_open:
            _log.warning('The table does not answer: %s.', problem)
        self._breaker.record_failure(self._clock.now_s())

    def _record_success(self) -> None:
        if self._breaker.is_open:
            _log.info('The table answers again.')
        self._breaker.record_success()
