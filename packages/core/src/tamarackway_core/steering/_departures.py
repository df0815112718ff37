"""Targets that said themselves that they are leaving."""

import itertools
import math
from collections import OrderedDict
from typing import Final

from tamarackway_core.steering._model import LeavingTarget

_MAX_KNOWN: Final = 4096  # more than the targets of a deployment
_MAX_REPORTED: Final = 64
_REPORT_S: Final = 5.0  # more than an interval between heartbeats


class DepartureRegistry:
    """Targets that said in a response, here or to a peer, that they leave.

    That holds for one incarnation, without an end: its later records may say
    otherwise, and it may be removed and registered again.
    """

    def __init__(self) -> None:
        """Start without targets."""
        # Time when this instance was told, minus infinity if a peer was.
        self._told_s: OrderedDict[LeavingTarget, float] = OrderedDict()

    def add(
        self, target: LeavingTarget, now_s: float, *, from_peer: bool
    ) -> bool:
        """Record a leaving target; return whether it is news.

        :param target: the target.
        :param now_s: monotonic time in seconds.
        :param from_peer: whether a peer reported it.
        """
        if target in self._told_s:
            return False
        self._told_s[target] = -math.inf if from_peer else now_s
        if len(self._told_s) > _MAX_KNOWN:
            self._told_s.popitem(last=False)
        return True

    def includes(self, name: str, incarnation: int) -> bool:
        """Return whether a target said that it is leaving.

        :param name: name of the target.
        :param incarnation: its incarnation.
        """
        return LeavingTarget(name, incarnation) in self._told_s

    def list_recent(self, now_s: float) -> tuple[LeavingTarget, ...]:
        """Return targets that told this instance recently that they leave.

        :param now_s: monotonic time in seconds.
        """
        recent = (
            target
            for target, told_s in reversed(self._told_s.items())
            if now_s - told_s < _REPORT_S
        )
        return tuple(itertools.islice(recent, _MAX_REPORTED))
