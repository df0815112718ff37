"""Rate limits that targets set for all entry instances together."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from tamarackway_core.limits._bucket import WINDOW_S, TokenBucket
from tamarackway_core.membership import rank_instances
from tamarackway_core.numbers import Duration, RateLimit, Serial

_CHANGE_FRACTION: Final = 0.2  # smaller changes are not worth a log line
_MIN_SHARE_PER_S: Final = 0.5  # an instance can seldom use less in time
_MIN_TOKENS_PER_WINDOW: Final = 5  # the bucket keeps one back in each window
_REPORT_S: Final = 5.0  # more than an interval between heartbeats
_STALE_S: Final = 6.0  # no holder has sent a request to the target
_PROBE_TURN_S: Final = 1.0  # long enough for a response to a probe


@dataclass(frozen=True, slots=True)
class TargetRateLimit:
    """Rate limit of one target, as an instance has read it in a response.

    :param target: name of the target.
    :param incarnation: incarnation of the target that set the limit.
    :param total_per_s: requests per second that the target accepts from all
        instances together; infinity once it sets no limit any more.
    :param age_s: time in seconds since the response.
    """

    target: str
    incarnation: Serial
    total_per_s: RateLimit
    age_s: Duration


class _KnownLimit:
    """The newest limit of a target, and the share of this instance in it."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.total_per_s = math.inf
        self.logged_per_s = math.inf
        self.read_s = -math.inf
        self.own_read_s = -math.inf
        self.last_use_s = -math.inf
        self.rank: int | None = None
        self._bucket: TokenBucket | None = None

    def update(self, total_per_s: float, read_s: float) -> None:
        self.total_per_s = total_per_s
        self.read_s = read_s
        self.last_use_s = max(self.last_use_s, read_s)

    def has_changed(self) -> bool:
        """Return whether the limit differs much from the one last logged."""
        if self.total_per_s == self.logged_per_s:
            return False
        known = math.isfinite(self.logged_per_s)
        if not known or not math.isfinite(self.total_per_s):
            return True
        change_per_s = abs(self.total_per_s - self.logged_per_s)
        return change_per_s > _CHANGE_FRACTION * self.logged_per_s

    def find_bucket(self, holders: int, now_s: float) -> TokenBucket | None:
        """Return the bucket of this instance, or None if it has no share."""
        if self.rank is None or self.rank >= holders:
            self._bucket = None
            return None
        share_per_s = self.total_per_s / holders
        window_s = max(WINDOW_S, _MIN_TOKENS_PER_WINDOW / share_per_s)
        if self._bucket is None:
            # Holders that learn a limit together must not send in step.
            tokens = self.rank / holders
            self._bucket = TokenBucket(
                share_per_s, now_s, window_s, tokens=tokens
            )
        elif self._bucket.share_per_s != share_per_s:
            self._bucket.set_share(share_per_s, now_s, window_s)
        return self._bucket


class TargetRateLimiter:
    """Keeps the requests of all instances within the rate limits of targets.

    A limit is divided evenly among its holders. These are the first instances
    in the rendezvous order of the target, as many as get a share of a useful
    size. So the shares never add up to more than the limit, and few instances
    have unused tokens that they could spend at the same time. All instances
    that may be running count, so that a partition creates no second holder.

    An instance learns limits from responses to its own requests and from the
    heartbeats of peers. If no holder has used a target for some time, its limit
    may have ended unnoticed, so the next instances in the order send it single
    requests in turn.
    """

    def __init__(self) -> None:
        """Start without limits, in a fleet of unknown size."""
        self._own = ''
        self._instances: tuple[str, ...] = ()
        self._limits: dict[str, _KnownLimit] = {}

    def divide_among(self, own: str, instances: Iterable[str]) -> None:
        """Divide the limits among instances.

        :param own: name of this instance.
        :param instances: names of all instances that may be running.
        """
        self._own = own
        self._instances = tuple(instances)
        for known in self._limits.values():
            known.rank = None

    def observe(
        self, target: str, incarnation: int, total_per_s: float, now_s: float
    ) -> bool:
        """Record the limit in a response; return whether it changed much.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param total_per_s: requests per second that it accepts from all
            instances together; infinity for no limit.
        :param now_s: monotonic time in seconds.
        """
        known = self._update(target, incarnation, total_per_s, now_s)
        if known is None:
            return False
        known.own_read_s = now_s
        if known.has_changed():
            known.logged_per_s = total_per_s
            return True
        return False

    def update_from_peer(self, limit: TargetRateLimit, now_s: float) -> None:
        """Record a limit that a peer has read, unless a newer one is known.

        :param limit: the limit.
        :param now_s: monotonic time in seconds.
        """
        known = self._limits.get(limit.target)
        read_s = now_s - limit.age_s
        if known is not None:
            if known.incarnation > limit.incarnation:
                return
            is_same = known.incarnation == limit.incarnation
            if is_same and known.read_s >= read_s:
                return
        self._update(limit.target, limit.incarnation, limit.total_per_s, read_s)

    def list_own(self, now_s: float) -> tuple[TargetRateLimit, ...]:
        """Return the limits that this instance has read recently.

        :param now_s: monotonic time in seconds.
        """
        return tuple(
            TargetRateLimit(
                target,
                known.incarnation,
                known.total_per_s,
                now_s - known.own_read_s,
            )
            for target, known in self._limits.items()
            if known.own_read_s == known.read_s
            and now_s - known.own_read_s < _REPORT_S
        )

    def total_per_s(self, target: str, incarnation: int) -> float:
        """Return the limit of a target for all instances, infinity for none.

        :param target: name of the target.
        :param incarnation: its incarnation.
        """
        known = self._find(target, incarnation)
        return math.inf if known is None else known.total_per_s

    def allows(self, target: str, incarnation: int, now_s: float) -> bool:
        """Return whether this instance may send a request to a target.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        """
        return self.wait_s(target, incarnation, now_s) <= 0

    def wait_s(self, target: str, incarnation: int, now_s: float) -> float:
        """Return the time in seconds until :meth:`allows` may return true.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        """
        known = self._find(target, incarnation)
        if known is None:
            return 0
        rank = self._rank(target, known)
        if rank is None:
            return math.inf
        holders = self._count_holders(known)
        bucket = known.find_bucket(holders, now_s)
        if bucket is not None:
            return bucket.wait_s(now_s)
        turns = len(self._instances) - holders
        unused_s = now_s - known.last_use_s
        return _probe_wait_s(unused_s, rank - holders, turns)

    def share_per_s(self, target: str, incarnation: int) -> float:
        """Return the share of this instance, infinity without a limit.

        :param target: name of the target.
        :param incarnation: its incarnation.
        """
        known = self._find(target, incarnation)
        if known is None:
            return math.inf
        rank = self._rank(target, known)
        holders = self._count_holders(known)
        is_holder = rank is not None and rank < holders
        return known.total_per_s / holders if is_holder else 0

    def record(self, target: str, incarnation: int, now_s: float) -> None:
        """Record a request that is sent to a target.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        """
        known = self._find(target, incarnation)
        if known is None:
            return
        known.last_use_s = now_s
        self._rank(target, known)
        bucket = known.find_bucket(self._count_holders(known), now_s)
        if bucket is not None:
            bucket.take(now_s)

    def retain(self, names: Collection[str]) -> None:
        """Discard the limits of all other targets.

        :param names: names of the targets to keep.
        """
        for name in self._limits.keys() - set(names):
            self._limits.pop(name)

    def _find(self, target: str, incarnation: int) -> _KnownLimit | None:
        """Return the limit in force, or None."""
        known = self._limits.get(target)
        if known is None or known.incarnation != incarnation:
            return None
        return known if math.isfinite(known.total_per_s) else None

    def _update(
        self,
        target: str,
        incarnation: int,
        total_per_s: float,
        read_s: float,
    ) -> _KnownLimit | None:
        known = self._limits.get(target)
        if known is None or known.incarnation != incarnation:
            if math.isinf(total_per_s):
                return None
            known = _KnownLimit(incarnation)
            self._limits[target] = known
        known.update(total_per_s, read_s)
        return known

    def _rank(self, target: str, known: _KnownLimit) -> int | None:
        if known.rank is None and self._own in self._instances:
            order = rank_instances(self._instances, target)
            known.rank = order.index(self._own)
        return known.rank

    def _count_holders(self, known: _KnownLimit) -> int:
        wanted = int(known.total_per_s / _MIN_SHARE_PER_S)
        return max(min(wanted, len(self._instances)), 1)


def _probe_wait_s(unused_s: float, turn: int, turns: int) -> float:
    """Return the time in seconds until an instance may probe a target.

    The instances without a share take turns, so that they do not all send
    their first request after an idle time at once.

    :param unused_s: time in seconds since the last request to the target.
    :param turn: position of the instance among those without a share.
    :param turns: number of instances without a share.
    """
    start_s = turn * _PROBE_TURN_S
    stale_s = unused_s - _STALE_S
    if stale_s < 0:
        return start_s - stale_s
    cycle_s = turns * _PROBE_TURN_S
    since_start_s = (stale_s - start_s) % cycle_s
    return 0 if since_start_s < _PROBE_TURN_S else cycle_s - since_start_s
