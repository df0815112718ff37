"""Counts the targets that each request has killed."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

MAX_LOSSES: Final = 2
_LIFETIME_S: Final = 600.0
_MAX_FINGERPRINTS: Final = 4096
_GROUP_WINDOW_S: Final = 5.0
_GROUP_SHARE: Final = 0.5
_MIN_GROUP_LOSSES: Final = 3


@dataclass(slots=True)
class _Record:
    targets: set[tuple[str, int]]
    last_loss_s: float


class QuarantineRegister:
    """Finds requests that kill each target that runs them.

    A request is quarantined once two incarnations of targets have died while
    running it. Losses are not counted while a large share of a service's
    targets dies within seconds, since one request is not the cause then.
    """

    def __init__(self) -> None:
        """Start with no losses."""
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._recent: deque[tuple[float, str]] = deque()

    def report(
        self,
        fingerprint: str,
        target: str,
        incarnation: int,
        now_s: float,
    ) -> None:
        """Count the loss of a target.

        :param fingerprint: digest of the request that the target ran.
        :param target: name of the target.
        :param incarnation: incarnation of the target.
        :param now_s: monotonic time in seconds.
        """
        self._recent.append((now_s, target))
        record = self._records.setdefault(fingerprint, _Record(set(), now_s))
        record.targets.add((target, incarnation))
        record.last_loss_s = now_s
        self._records.move_to_end(fingerprint)
        while len(self._records) > _MAX_FINGERPRINTS:
            self._records.popitem(last=False)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request must not be run.

        :param fingerprint: digest of the request.
        :param now_s: monotonic time in seconds.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return False
        if now_s - record.last_loss_s > _LIFETIME_S:
            self._records.pop(fingerprint)
            return False
        return len(record.targets) >= MAX_LOSSES

    def is_group_failing(self, group_size: int, now_s: float) -> bool:
        """Return whether too many targets die for one request to be at fault.

        :param group_size: number of targets of the service.
        :param now_s: monotonic time in seconds.
        """
        while self._recent and now_s - self._recent[0][0] > _GROUP_WINDOW_S:
            self._recent.popleft()
        lost = len({target for _, target in self._recent})
        limit = max(_GROUP_SHARE * group_size, _MIN_GROUP_LOSSES)
        return lost >= limit
