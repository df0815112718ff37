"""Columns and bounds of the amount for each kind of row."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from tamarackway_core.sheet._model import RowKind

_MAX_DEADLINE_MS: Final = 600_000
_MAX_AMOUNT: Final = 10_000_000
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class KindRule:
    """Validation rule for rows of one kind.

    :param required: columns that must be filled.
    :param optional: columns that may be filled or empty.
    :param unit: unit of the amount; empty for kinds without an amount.
    :param low: minimum of the amount.
    :param high: maximum of the amount.
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
