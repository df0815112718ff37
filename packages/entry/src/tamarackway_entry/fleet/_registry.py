"""Registration of entry instances in the store, and their shared secret."""

import random
import secrets
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
from tamarackway_core.errors import SettingsError
from tamarackway_core.recovery import Backoff
from tamarackway_core.wire import FleetMember, StoredRow

from tamarackway_entry.store import (
    RowStore,
    RowWrite,
    StoreInDoubtError,
    StoreUnavailableError,
)
from tamarackway_entry.telemetry import component_logger

_TABLE: Final = 'tamarackway'
_KEY_ROW: Final = 'peer-key'  # holds the shared secret
_INSTANCE_PREFIX: Final = 'instance/'
_SECRET_BYTES: Final = 32
# RecursionError: deeply nested JSON exhausts the decoder's stack.
_DECODE_ERRORS: Final = (msgspec.DecodeError, SettingsError, RecursionError)
_FIRST_RETRY_S: Final = 0.1
_MAX_RETRY_S: Final = 0.5
_log = component_logger('registry')


@dataclass(frozen=True, slots=True)
class Registration:
    """What an instance needs to communicate with its peers.

    :param secret: secret by which the instances authenticate each other.
    :param members: other instances registered so far.
    :param history: history of the store that holds the registration.
    """

    secret: str
    members: tuple[FleetMember, ...]
    history: int


class FleetRegistry:
    """Registers this instance in the store.

    :param store: the store.
    :param rng: source of the jitter of retries.
    """

    def __init__(self, store: RowStore, rng: random.Random) -> None:
        """Store the dependencies."""
        self._store = store
        self._rng = rng

    async def register(
        self, member: FleetMember, known_secret: str = ''
    ) -> Registration:
        """Write the row of this instance and return the other instances.

        :param member: this instance.
        :param known_secret: secret to store if the store holds none, or an
            empty string to create one.

        The row is written before the others are read, so that of two
        instances that start concurrently at least one discovers the other.
        """
        backoff = Backoff(_FIRST_RETRY_S, _MAX_RETRY_S, self._rng)
        while True:
            try:
                return await self._try_register(member, known_secret)
            except (StoreUnavailableError, StoreInDoubtError) as error:
                _log.info(
                    'Registration of this instance failed, retrying: %s.',
                    error,
                )
            await anyio.sleep(backoff.next_s())

    async def _try_register(
        self, member: FleetMember, known_secret: str
    ) -> Registration:
        member_write = RowWrite(
            f'{_INSTANCE_PREFIX}{member.name}',
            msgspec.json.encode(member),
        )
        own_secret = known_secret or secrets.token_hex(_SECRET_BYTES)
        secret_write = RowWrite(_KEY_ROW, own_secret.encode(), 0)
        # Nothing is written if another instance has already stored a secret.
        if not await self._store.write(_TABLE, [secret_write, member_write]):
            await self._store.write(_TABLE, [member_write])
        result = await self._store.read_table(_TABLE)
        rows = {row.key: row.content for row in result.rows}
        if rows.get(member_write.key) != member_write.content:
            raise StoreUnavailableError(
                f'table {_TABLE} does not hold row {member_write.key}; '
                f'the store was restored after the write'
            )
        secret = rows.get(_KEY_ROW, b'')
        if not secret.isalnum():
            raise StoreUnavailableError(
                f'row {_KEY_ROW} of table {_TABLE} holds no secret'
            )
        return Registration(
            secret.decode(),
            tuple(_decode_members(result.rows, member.name)),
            result.history,
        )


def _decode_members(
    rows: tuple[StoredRow, ...],
    own: str,
) -> list[FleetMember]:
    members = []
    for row in rows:
        if not row.key.startswith(_INSTANCE_PREFIX):
            continue
        try:
            member = msgspec.json.decode(row.content, type=FleetMember)
        except _DECODE_ERRORS as error:
            _log.warning('Ignored undecodable row %s: %s.', row.key, error)
            continue
        if member.name != own:
            members.append(member)
    return members
