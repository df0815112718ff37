"""Evacuated failure domains across histories of the store."""

import math
from collections.abc import Mapping
from typing import Final

# The operator has written again by then what the restored store had lost.
_HOLD_S: Final = 10.0
_DOUBT_S: Final = 2.5


class EvacuationTracker:
    """Tells which failure domains are evacuated.

    While a restored store lacks an evacuation, it is held for some time. One
    that the store lists again although it had ended is doubted for some time:
    less, since an evacuation must take effect within a few seconds.
    """

    def __init__(self) -> None:
        """Start without evacuations."""
        self._listed: frozenset[str] = frozenset()
        self._held_until_s: dict[str, float] = {}
        self._peer_held_until_s: dict[str, float] = {}
        self._doubted_until_s: dict[str, float] = {}
        self._released_s: dict[str, float] = {}

    def replace(
        self, listed: frozenset[str], now_s: float, *, is_restored: bool
    ) -> None:
        """Replace what the store lists.

        :param listed: all evacuated domains in the store.
        :param now_s: monotonic time in seconds.
        :param is_restored: whether the store was restored from a copy, which
            may be older than what was listed before.
        """
        before = self.in_force(now_s)
        if is_restored:
            for domain in before - listed:
                self._held_until_s[domain] = now_s + _HOLD_S
            for domain in listed - before:
                self._doubted_until_s[domain] = now_s + _DOUBT_S
        self._listed = listed

    def change(
        self, added: frozenset[str], removed: frozenset[str], now_s: float
    ) -> None:
        """Apply changes that were certainly written in the current history.

        :param added: domains that are evacuated.
        :param removed: domains that are taken back.
        :param now_s: monotonic time in seconds.
        """
        self._listed = (self._listed - removed) | added
        for domain in added | removed:
            self._held_until_s.pop(domain, None)
            self._peer_held_until_s.pop(domain, None)
            self._doubted_until_s.pop(domain, None)
        for domain in removed:
            self._released_s[domain] = now_s

    def hold_for_peer(self, held_s: Mapping[str, float], now_s: float) -> None:
        """Hold evacuations that a peer holds against a restored store.

        :param held_s: for how many seconds the peer will hold each domain.
        :param now_s: monotonic time in seconds.
        """
        for domain, left_s in held_s.items():
            released_s = self._released_s.get(domain, -math.inf)
            if now_s - released_s > _HOLD_S:
                until_s = now_s + min(left_s, _HOLD_S)
                self._peer_held_until_s[domain] = until_s

    def held_s(self, now_s: float) -> dict[str, float]:
        """Return for how many seconds this instance will hold each domain.

        :param now_s: monotonic time in seconds.
        """
        return {
            domain: until_s - now_s
            for domain, until_s in self._held_until_s.items()
            if until_s > now_s and domain not in self._listed
        }

    def in_force(self, now_s: float) -> frozenset[str]:
        """Return the domains whose targets receive no requests.

        :param now_s: monotonic time in seconds.
        """
        doubted = _select_current(self._doubted_until_s, now_s)
        held = _select_current(self._held_until_s, now_s)
        peer_held = _select_current(self._peer_held_until_s, now_s)
        return (self._listed - doubted) | held | peer_held


def _select_current(
    until_s: Mapping[str, float], now_s: float
) -> frozenset[str]:
    return frozenset(name for name, end_s in until_s.items() if end_s > now_s)
