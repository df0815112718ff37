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
    """Remembers the rank of targets for recent keys.

    :param targets: all targets of one service.
    """

    _max_keys = 4096

    def __init__(self, targets: Sequence[TargetRecord]) -> None:
        """Start without keys."""
        self.targets = tuple(targets)
        self._ranks: dict[str, dict[str, int]] = {}

    def find_ranks(self, key: str) -> Mapping[str, int]:
        """Return the rank of each target within its region, by name.

        :param key: key of the request.
        """
        ranks = self._ranks.get(key)
        if ranks is None:
            ranks = self._rank_in_regions(key)
            if len(self._ranks) >= self._max_keys:
                self._ranks.clear()
            self._ranks[key] = ranks
        return ranks

    def _rank_in_regions(self, key: str) -> dict[str, int]:
        seen: dict[str, int] = {}
        ranks: dict[str, int] = {}
        for target in rank(key, self.targets):
            region = target.place.region
            ranks[target.name] = seen.get(region, 0)
            seen[region] = ranks[target.name] + 1
        return ranks
