"""Registry of targets that were lost while they ran a request."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Final

from tamarackway_core.numbers import Serial

QUARANTINE_LOSSES: Final = 2
_RETENTION_S: Final = 600.0
_MAX_FINGERPRINTS: Final = 4096
_GROUP_WINDOW_S: Final = 5.0
_GROUP_SHARE: Final = 0.5
_MAX_RECENT: Final = 64
_GOSSIP_S: Final = 10.0
_MIN_GROUP_LOSSES: Final = 3


@dataclass(frozen=True, slots=True)
class Loss:
    """Loss of a target while it ran a request.

    :param fingerprint: digest of the request.
    :param target: name of the lost target.
    :param incarnation: incarnation of the target.
    """

    fingerprint: str
    target: str
    incarnation: Serial


@dataclass(slots=True)
class _Record:
    losses: set[Loss]
    last_loss_s: float


class QuarantineRegistry:
    """Detects requests that crash the targets that run them.

    A request is quarantined once two incarnations of targets were lost while
    running it. Losses should not be reported while a large share of the
    targets of a service is lost within seconds, since a single request is not
    the cause then; see :meth:`is_group_failing`.
    """

    def __init__(self) -> None:
        """Start with no losses."""
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._recent: deque[tuple[float, Loss]] = deque(maxlen=_MAX_RECENT)

    def report(self, loss: Loss, now_s: float) -> None:
        """Record a loss; repeated reports of the same loss count once.

        :param loss: the loss.
        :param now_s: monotonic time in seconds.
        """
        record = self._records.setdefault(
            loss.fingerprint,
            _Record(set(), now_s),
        )
        if loss in record.losses:
            return
        self._recent.append((now_s, loss))
        record.losses.add(loss)
        record.last_loss_s = now_s
        self._records.move_to_end(loss.fingerprint)
        while len(self._records) > _MAX_FINGERPRINTS:
            self._records.popitem(last=False)

    def clear(self, fingerprint: str) -> None:
        """Remove the losses of a request that a target has completed.

        :param fingerprint: digest of the request.
        """
        self._records.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request must not be run.

        :param fingerprint: digest of the request.
        :param now_s: monotonic time in seconds.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return False
        if now_s - record.last_loss_s > _RETENTION_S:
            self._records.pop(fingerprint)
            return False
        return len(record.losses) >= QUARANTINE_LOSSES

    def list_recent(self, now_s: float) -> tuple[Loss, ...]:
        """Return the recent losses to be sent to peers.

        :param now_s: monotonic time in seconds.
        """
        return tuple(
            loss
            for reported_s, loss in self._recent
            if now_s - reported_s <= _GOSSIP_S
        )

    def is_group_failing(self, group_size: int, now_s: float) -> bool:
        """Return whether too many targets are lost to blame a single request.

        :param group_size: number of targets of the service.
        :param now_s: monotonic time in seconds.
        """
        lost_targets = {
            loss.target
            for reported_s, loss in self._recent
            if now_s - reported_s <= _GROUP_WINDOW_S
        }
        threshold = max(_GROUP_SHARE * group_size, _MIN_GROUP_LOSSES)
        return len(lost_targets) >= threshold
