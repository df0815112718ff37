"""Records of targets that a restored store lists although they are outdated."""

import itertools
import math
from collections import OrderedDict
from typing import Final

from tamarackway_core.steering._model import OutdatedTarget, TargetRecord

_MAX_KNOWN: Final = 4096  # more than the targets of a deployment
_MAX_REPORTED: Final = 64
_REPORT_S: Final = 10.0  # by then the store has removed silent targets


class OutdatedRecords:
    """Knows the last records of targets that are gone or leaving.

    A store that was restored from a copy may list them with earlier records.
    The target itself orders its records, which a restore does not change.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._removed: OrderedDict[str, OutdatedTarget] = OrderedDict()
        # Time when this instance noticed, minus infinity if a peer told it.
        self._contradicted: OrderedDict[OutdatedTarget, float] = OrderedDict()

    def record_removal(self, record: TargetRecord) -> None:
        """Record that a target was removed.

        :param record: its last record.
        """
        self._remember(_last_record(record))

    def record_peer_report(self, target: OutdatedTarget) -> None:
        """Record that a peer knows a target to be gone or leaving.

        :param target: its last record, as the peer knows it.
        """
        self._contradicted.setdefault(target, -math.inf)
        known = self._removed.get(target.name)
        if known is None or _order(known) < _order(target):
            self._remember(target)

    def contradicts(
        self, record: TargetRecord, known: TargetRecord | None, now_s: float
    ) -> bool:
        """Return whether a record of a copy is outdated, and report it if so.

        :param record: record in the copy.
        :param known: record in use, or None if there is none.
        :param now_s: monotonic time in seconds.
        """
        last = self._removed.get(record.name)
        if known is not None:
            last = _last_record(known) if known.leaving else None
        if last is None or _order(last) < _order(_last_record(record)):
            return False
        if self._contradicted.get(last) != -math.inf:
            self._contradicted[last] = now_s
        if len(self._contradicted) > _MAX_KNOWN:
            self._contradicted.popitem(last=False)
        return True

    def list_recent(self, now_s: float) -> tuple[OutdatedTarget, ...]:
        """Return targets of which this instance read an outdated record lately.

        :param now_s: monotonic time in seconds.
        """
        recent = (
            target
            for target, noticed_s in self._contradicted.items()
            if now_s - noticed_s < _REPORT_S
        )
        return tuple(itertools.islice(recent, _MAX_REPORTED))

    def _remember(self, target: OutdatedTarget) -> None:
        self._removed[target.name] = target
        self._removed.move_to_end(target.name)
        if len(self._removed) > _MAX_KNOWN:
            self._removed.popitem(last=False)


def _last_record(record: TargetRecord) -> OutdatedTarget:
    return OutdatedTarget(record.name, record.incarnation, record.sequence)


def _order(target: OutdatedTarget) -> tuple[int, int]:
    return (target.incarnation, target.sequence)
