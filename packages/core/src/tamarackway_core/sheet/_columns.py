"""Which columns each kind of row needs, and the bounds of its amount."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from tamarackway_core.sheet._model import RowKind

_MAX_DEADLINE_MS: Final = 600_000
_MAX_AMOUNT: Final = 10_000_000
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class KindRule:
    """What a row of one kind must and may hold.

    :param required: columns that must be filled.
    :param optional: columns that may be filled.
    :param unit: unit of the amount; empty where the kind has no amount.
    :param low: smallest amount.
    :param high: largest amount.
    """

    required: tuple[str, ...]
    optional: tuple[str, ...] = ()
    unit: str = ''
    low: float = 0
    high: float = 0


KIND_RULES: Final = MappingProxyType({
    RowKind.LOOKUP: KindRule(
        ('service',),
        unit='ms',
        low=1,
        high=_MAX_DEADLINE_MS,
    ),
    RowKind.ONCE: KindRule(
        ('service',),
        unit='ms',
        low=1,
        high=_MAX_DEADLINE_MS,
    ),
    RowKind.SERVE: KindRule(
        ('service', 'region'),
        unit='percent',
        low=0,
        high=_PERCENT,
    ),
    RowKind.CAPACITY: KindRule(
        ('region',),
        optional=('service',),
        unit='requests/s',
        low=0,
        high=_MAX_AMOUNT,
    ),
    RowKind.LINK: KindRule(
        ('region', 'to_region'),
        unit='Mbit/s',
        low=0,
        high=_MAX_AMOUNT,
    ),
    RowKind.MOVE: KindRule(
        ('service',),
        unit='percent/min',
        low=1,
        high=_MAX_AMOUNT,
    ),
    RowKind.LEAVE: KindRule(('target',)),
})
