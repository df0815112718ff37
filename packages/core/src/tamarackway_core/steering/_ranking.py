"""Ranks targets for a key, so that all instances prefer the same ones."""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from tamarackway_core.steering._model import TargetRecord

_DIGEST_BYTES: Final = 8
_DIGEST_RANGE: Final = 1 << (8 * _DIGEST_BYTES)


def weigh(name: str, key: str, weight: float) -> float:
    """Return the score of a name for a key; the highest score is preferred.

    :param name: a candidate.
    :param key: what is placed.
    :param weight: capacity of the candidate relative to the others.

    The method is weighted rendezvous hashing (Schindelhauer and Schomaker,
    2005): a candidate gets keys in proportion to its weight, and a change of
    one candidate moves only keys from or to it.
    """
    text = f'{key}\0{name}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    uniform = (int.from_bytes(digest, 'big') + 1) / (_DIGEST_RANGE + 1)
    return -weight / math.log(uniform)


def rank(key: str, targets: Iterable[TargetRecord]) -> list[TargetRecord]:
    """Return targets in the order in which a key prefers them.

    :param key: key of the request.
    :param targets: targets of one service.
    """
    return sorted(
        targets,
        key=lambda target: -weigh(target.name, key, target.slots),
    )


def prefer_region(key: str, weights: Mapping[str, float]) -> str | None:
    """Return the region that a key is placed in, or None without weights.

    :param key: key of the request.
    :param weights: share of the keys by region.
    """
    open_regions = {name: part for name, part in weights.items() if part > 0}
    return max(
        open_regions,
        key=lambda name: weigh(name, key, open_regions[name]),
        default=None,
    )


class TargetRanking:
    """Remembers the order of targets for recent keys.

    :param targets: all targets of one service.
    """

    _max_orders = 4096

    def __init__(self, targets: Sequence[TargetRecord]) -> None:
        """Start without keys."""
        self.targets = tuple(targets)
        self._orders: dict[tuple[str, str | None], Sequence[TargetRecord]] = {}

    def order(self, key: str, region: str | None) -> Sequence[TargetRecord]:
        """Return the targets in the order in which a key prefers them.

        :param key: key of the request; without one, any order will do.
        :param region: region whose targets come first.
        """
        if not key:
            return self.targets
        known = self._orders.get((key, region))
        if known is None:
            ranked = rank(key, self.targets)
            near = [one for one in ranked if one.place.region == region]
            far = [one for one in ranked if one.place.region != region]
            known = (*near, *far)
            if len(self._orders) >= self._max_orders:
                self._orders.clear()
            self._orders[key, region] = known
        return known
