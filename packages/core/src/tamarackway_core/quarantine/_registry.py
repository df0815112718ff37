"""Registry of targets that were lost while they ran a request."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from operator import itemgetter
from typing import Final

from tamarackway_core.quarantine._model import KnownLoss, Loss
from tamarackway_core.quarantine._records import LossRecords, LossState
from tamarackway_core.quarantine._retests import has_turn, retest_wait_s

_MAX_COMPLETIONS: Final = 1024
_MAX_SHARED: Final = 192  # about 22 KB on the wire
_GROUP_WINDOW_S: Final = 5.0
_GROUP_SHARE: Final = 0.5
_MAX_RECENT: Final = 64
_GOSSIP_S: Final = 10.0
_MIN_GROUP_LOSSES: Final = 3
# Other targets that ran the request when a target was lost complete it at
# about the same time.
_CONCURRENT_S: Final = 1.0
_RETEST_TIMEOUT_S: Final = 5.0


class QuarantineRegistry:
    """Detects requests that crash the targets that run them.

    A request is quarantined once two incarnations of targets were lost while
    running it. A completed run refutes the losses: the request did not cause
    them. As a quarantined request is not run, single runs are tried from time
    to time, see :meth:`take_retest`.

    Instances tell each other what they know. All of them reach the same state
    in whatever order they learn of it: a loss is the same one wherever it was
    observed, a refuted one stays refuted, and its age is passed on with it, so
    that it expires everywhere.

    Losses should not be reported while a large share of the targets of a
    service is lost within seconds, unless each was checked; see
    :meth:`is_group_failing`.
    """

    def __init__(self) -> None:
        """Start with no losses."""
        self._records = LossRecords()
        self._completed_s: OrderedDict[str, float] = OrderedDict()
        self._recent: deque[tuple[float, Loss]] = deque(maxlen=_MAX_RECENT)

    def report(self, loss: Loss, now_s: float, age_s: float = 0) -> None:
        """Record a loss; repeated reports of the same loss count once.

        :param loss: the loss.
        :param now_s: monotonic time in seconds.
        :param age_s: time since the target was lost, in seconds.
        """
        self.merge((KnownLoss(loss, age_s),), now_s)

    def merge(self, known: Iterable[KnownLoss], now_s: float) -> None:
        """Record losses that another instance knows.

        :param known: the losses.
        :param now_s: monotonic time in seconds.
        """
        for entry in known:
            self._put(entry, now_s)
        self._records.discard_expired(now_s)

    def record_completion(self, fingerprint: str, now_s: float) -> None:
        """Record that a target has completed a request.

        :param fingerprint: digest of the request.
        :param now_s: monotonic time in seconds.
        """
        self._completed_s[fingerprint] = now_s
        self._completed_s.move_to_end(fingerprint)
        if len(self._completed_s) > _MAX_COMPLETIONS:
            self._completed_s.popitem(last=False)
        request = self._records.find(fingerprint)
        if request is not None:
            for loss, state in request.losses.items():
                self._refute(loss, state, now_s)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request must not be run.

        :param fingerprint: digest of the request.
        :param now_s: monotonic time in seconds.
        """
        request = self._records.find(fingerprint)
        return request is not None and request.is_quarantined(now_s)

    def take_retest(
        self, fingerprint: str, now_s: float, position: int, instances: int
    ) -> bool:
        """Return whether a quarantined request is to be run once here.

        A retest is due some time after the last loss; the time grows with each
        one that failed. The instances take turns, so that hardly ever two of
        them try a request at once.

        :param fingerprint: digest of the request.
        :param now_s: monotonic time in seconds.
        :param position: position of this instance among all, in order of
            their names.
        :param instances: number of instances.
        """
        request = self._records.find(fingerprint)
        if request is None or not request.is_quarantined(now_s):
            return False
        if now_s - request.retest_s < _RETEST_TIMEOUT_S:
            return False  # the last one may still be running
        losses_s = request.list_unrefuted_s()
        waited_s = now_s - max(losses_s) - retest_wait_s(losses_s)
        if not has_turn(fingerprint, waited_s, position, instances):
            return False
        request.retest_s = now_s
        return True

    def list_recent(self, now_s: float) -> tuple[Loss, ...]:
        """Return the recent losses that are not refuted.

        :param now_s: monotonic time in seconds.
        """
        return tuple(
            entry.loss
            for entry in self.list_recent_changes(now_s)
            if not entry.refuted
        )

    def list_recent_changes(self, now_s: float) -> tuple[KnownLoss, ...]:
        """Return the losses that were recorded or refuted recently.

        :param now_s: monotonic time in seconds.
        """
        recent = dict.fromkeys(
            loss
            for changed_s, loss in self._recent
            if now_s - changed_s <= _GOSSIP_S
        )
        states = ((loss, self._records.find_loss(loss)) for loss in recent)
        return tuple(
            state.describe(loss, now_s)
            for loss, state in states
            if state is not None
        )

    def list_known(self, now_s: float) -> tuple[KnownLoss, ...]:
        """Return what another instance should know that was away.

        If that is too much, quarantined requests and recent losses go first.

        :param now_s: monotonic time in seconds.
        """
        ranked = [
            (
                (
                    not request.is_quarantined(now_s),
                    state.refuted,
                    -state.lost_s,
                ),
                state.describe(loss, now_s),
            )
            for request in self._records
            for loss, state in request.losses.items()
        ]
        ranked.sort(key=itemgetter(0))
        return tuple(known for _rank, known in ranked[:_MAX_SHARED])

    def digest(self, now_s: float) -> str:
        """Return a digest of all losses that are not refuted.

        Instances that know the same losses have the same digest.

        :param now_s: monotonic time in seconds.
        """
        self._records.discard_expired(now_s)
        return self._records.format_digest()

    def count_quarantined(self, now_s: float) -> int:
        """Return the number of quarantined requests.

        :param now_s: monotonic time in seconds.
        """
        return sum(request.is_quarantined(now_s) for request in self._records)

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

    def _put(self, entry: KnownLoss, now_s: float) -> None:
        loss = entry.loss
        lost_s = now_s - entry.age_s
        state = self._records.find_loss(loss)
        if state is None:
            state = self._records.add(loss, lost_s)
            if entry.age_s <= _GOSSIP_S:
                self._recent.append((now_s, loss))
        state.lost_s = min(state.lost_s, lost_s)
        completed_s = self._completed_s.get(loss.fingerprint, -math.inf)
        if entry.refuted or completed_s >= state.lost_s - _CONCURRENT_S:
            self._refute(loss, state, now_s)

    def _refute(self, loss: Loss, state: LossState, now_s: float) -> None:
        if not state.refuted:
            self._records.refute(loss, state)
            self._recent.append((now_s, loss))
