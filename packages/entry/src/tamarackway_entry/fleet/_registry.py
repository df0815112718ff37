"""Rows by which entry instances find each other and share a secret."""

import random
import secrets
from dataclasses import dataclass
from typing import Final

import anyio
import msgspec
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
_KEY_ROW: Final = 'peer-key'
_INSTANCE_PREFIX: Final = 'instance/'
_SECRET_BYTES: Final = 32
_FIRST_RETRY_S: Final = 0.1
_LONGEST_RETRY_S: Final = 0.5
_log = component_logger('registry')


@dataclass(frozen=True, slots=True)
class Enrolment:
    """What an instance needs to speak to the others.

    :param secret: key that all instances share.
    :param members: the instances that enrolled so far.
    """

    secret: str
    members: tuple[FleetMember, ...]


class FleetRegistry:
    """Enrols this instance in the store.

    :param store: the store.
    :param rng: spreads retries.
    """

    def __init__(self, store: RowStore, rng: random.Random) -> None:
        """Remember the store."""
        self._store = store
        self._rng = rng

    async def enrol(self, member: FleetMember) -> Enrolment:
        """Write this instance's row and return who else is there.

        :param member: this instance.

        The row is written before the others are read, so of two instances
        that start together one at least finds the other.
        """
        backoff = Backoff(_FIRST_RETRY_S, _LONGEST_RETRY_S, self._rng)
        while True:
            try:
                return await self._try_enrol(member)
            except (StoreUnavailableError, StoreInDoubtError) as error:
                _log.info('This instance is not enrolled yet: %s.', error)
            await anyio.sleep(backoff.next_s())

    async def _try_enrol(self, member: FleetMember) -> Enrolment:
        own = RowWrite(
            f'{_INSTANCE_PREFIX}{member.name}',
            msgspec.json.encode(member),
        )
        fresh = secrets.token_hex(_SECRET_BYTES)
        founding = RowWrite(_KEY_ROW, fresh.encode(), 0)
        if not await self._store.write(_TABLE, [founding, own]):
            await self._store.write(_TABLE, [own])
        found = await self._store.read_table(_TABLE)
        rows = {row.key: row.content for row in found.rows}
        return Enrolment(
            rows[_KEY_ROW].decode(),
            tuple(_decode_members(found.rows, member.name)),
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
        except msgspec.DecodeError as error:
            _log.warning('Row %s is unreadable: %s.', row.key, error)
            continue
        if member.name != own:
            members.append(member)
    return members
