"""Bounded records of the losses of each request."""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from tamarackway_core.quarantine._model import KnownLoss, Loss
from tamarackway_core.quarantine._retests import (
    QUARANTINE_LOSSES,
    retest_wait_s,
)

_RETENTION_S: Final = 600.0
_EXPIRY_INTERVAL_S: Final = 1.0
_MAX_REQUESTS: Final = 1024
_MAX_LOSSES: Final = 8  # of one request
_DIGEST_BYTES: Final = 8


@dataclass(slots=True)
class LossState:
    """What is known of one loss.

    :param lost_s: monotonic time at which the target was lost.
    :param refuted: whether a completed run has shown that the request was not
        the cause.
    """

    lost_s: float
    refuted: bool = False

    def describe(self, loss: Loss, now_s: float) -> KnownLoss:
        """Return the loss as it is told to other instances."""
        return KnownLoss(loss, max(now_s - self.lost_s, 0), self.refuted)


@dataclass(slots=True)
class RequestRecord:
    """What is known of one request.

    :param losses: targets that were lost while they ran it.
    :param retest_s: monotonic time of the last retest on this instance.
    """

    losses: dict[Loss, LossState] = field(default_factory=dict)
    retest_s: float = -math.inf

    def list_unrefuted_s(self) -> list[float]:
        """Return the times of the losses that are not refuted."""
        return [
            state.lost_s for state in self.losses.values() if not state.refuted
        ]

    def is_quarantined(self, now_s: float) -> bool:
        """Return whether the request must not be run."""
        is_suspect = len(self.list_unrefuted_s()) >= QUARANTINE_LOSSES
        return is_suspect and not self.is_expired(now_s)

    def is_expired(self, now_s: float) -> bool:
        """Return whether the losses are too old to count.

        Refuted ones are kept as long as others, which an instance that was
        away may still know.
        """
        retention_s = _RETENTION_S
        losses_s = [state.lost_s for state in self.losses.values()]
        if len(losses_s) >= QUARANTINE_LOSSES:
            retention_s = max(retention_s, 2 * retest_wait_s(losses_s))
        return now_s - max(losses_s) > retention_s


class LossRecords:
    """Losses of all requests, with a digest of those that are not refuted."""

    def __init__(self) -> None:
        """Start without losses."""
        self.digest = 0
        self._requests: OrderedDict[str, RequestRecord] = OrderedDict()
        self._checked_s = -math.inf

    def __iter__(self) -> Iterator[RequestRecord]:
        """Iterate over the requests, those without new losses first."""
        return iter(self._requests.values())

    def find(self, fingerprint: str) -> RequestRecord | None:
        """Return what is known of a request, or None."""
        return self._requests.get(fingerprint)

    def find_loss(self, loss: Loss) -> LossState | None:
        """Return what is known of a loss, or None."""
        request = self._requests.get(loss.fingerprint)
        return None if request is None else request.losses.get(loss)

    def add(self, loss: Loss, lost_s: float) -> LossState:
        """Add a loss that is not known yet."""
        request = self._requests.setdefault(loss.fingerprint, RequestRecord())
        state = LossState(lost_s)
        request.losses[loss] = state
        self.digest ^= _hash(loss)
        self._requests.move_to_end(loss.fingerprint)
        if len(request.losses) > _MAX_LOSSES:
            self._discard_loss(request)
        if len(self._requests) > _MAX_REQUESTS:
            self._discard_request()
        return state

    def refute(self, loss: Loss, state: LossState) -> None:
        """Record that the request has not caused a loss."""
        state.refuted = True
        self.digest ^= _hash(loss)

    def discard_expired(self, now_s: float) -> None:
        """Discard the requests whose losses are too old to count."""
        if now_s - self._checked_s < _EXPIRY_INTERVAL_S:
            return
        self._checked_s = now_s
        expired = [
            fingerprint
            for fingerprint, request in self._requests.items()
            if request.is_expired(now_s)
        ]
        for fingerprint in expired:
            self._discard(fingerprint)

    def format_digest(self) -> str:
        """Return the digest as text."""
        return f'{self.digest:0{2 * _DIGEST_BYTES}x}'

    def _discard_loss(self, request: RequestRecord) -> None:
        """Discard the oldest loss of a request."""
        losses = request.losses
        oldest = min(losses, key=lambda loss: losses[loss].lost_s)
        if not losses.pop(oldest).refuted:
            self.digest ^= _hash(oldest)

    def _discard_request(self) -> None:
        """Discard the oldest request, if possible one with a single loss.

        When many targets fail, each request that they ran leaves one.
        """
        single = (
            fingerprint
            for fingerprint, request in self._requests.items()
            if len(request.losses) < QUARANTINE_LOSSES
        )
        self._discard(next(single, next(iter(self._requests))))

    def _discard(self, fingerprint: str) -> None:
        request = self._requests.pop(fingerprint)
        for loss, state in request.losses.items():
            if not state.refuted:
                self.digest ^= _hash(loss)


def _hash(loss: Loss) -> int:
    text = f'{loss.fingerprint} {loss.target} {loss.incarnation}'
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
