"""Rendezvous hashing of affinity keys to targets and regions."""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from tamarackway_core.steering._model import TargetRecord

_DIGEST_BYTES: Final = 8
_DIGEST_RANGE: Final = 1 << (8 * _DIGEST_BYTES)


def rendezvous_score(name: str, key: str, weight: float) -> float:
    """Return the score of a node for a key; the highest score wins.

    :param name: name of the node.
    :param key: key to be placed.
    :param weight: capacity of the node relative to the others.

    The method is weighted rendezvous hashing (Schindelhauer and Schomaker,
    2005): a node gets keys in proportion to its weight, and a change of one
    node moves only keys from or to it.
    """
    text = f'{key}\0{name}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    draw = (int.from_bytes(digest, 'big') + 1) / (_DIGEST_RANGE + 1)
    return -weight / math.log(draw)


def rank_targets(
    key: str, targets: Iterable[TargetRecord]
) -> list[TargetRecord]:
    """Return targets in the preference order of a key.

    :param key: affinity key.
    :param targets: targets of one service.
    """
    return sorted(
        targets,
        key=lambda target: -rendezvous_score(target.name, key, target.slots),
    )


def select_region(key: str, weights: Mapping[str, float]) -> str | None:
    """Return the region of a key, or None if no region has a weight.

    :param key: affinity key.
    :param weights: share of the keys by region.
    """
    weighted = {name: weight for name, weight in weights.items() if weight > 0}
    return max(
        weighted,
        key=lambda name: rendezvous_score(name, key, weighted[name]),
        default=None,
    )


class TargetRanking:
    """Targets of one service, with a cache of preference orders by key.

    :param targets: all targets of one service.
    """

    _max_cached_orders = 4096

    def __init__(self, targets: Sequence[TargetRecord]) -> None:
        """Start with an empty cache."""
        self.targets = tuple(targets)
        self._orders: dict[tuple[str, str | None], Sequence[TargetRecord]] = {}

    def rank_for(self, key: str, region: str | None) -> Sequence[TargetRecord]:
        """Return the targets in the preference order of a key.

        :param key: affinity key, or an empty string for an arbitrary order.
        :param region: region whose targets come first.
        """
        if not key:
            return self.targets
        order = self._orders.get((key, region))
        if order is None:
            by_score = rank_targets(key, self.targets)
            local = [item for item in by_score if item.place.region == region]
            remote = [item for item in by_score if item.place.region != region]
            order = (*local, *remote)
            if len(self._orders) >= self._max_cached_orders:
                self._orders.clear()
            self._orders[key, region] = order
        return order
