"""Heartbeat intervals, and suppression of redundant heartbeats."""

from dataclasses import dataclass, replace
from typing import Final

from tamarackway_core.wire import FleetBeat

HEARTBEAT_INTERVAL_S: Final = 0.4
REPLY_TIMEOUT_S: Final = 0.8  # several round trips between distant regions
_MAX_PEERS_AT_FULL_RATE: Final = 12
_MAX_INTERVAL_S: Final = 4.0
_MAX_MISSED_HEARTBEATS: Final = 2
# A peer that discarded the member record receives it again after this time.
_MEMBER_REFRESH_S: Final = 4.0


def heartbeat_interval_s(peers: int) -> float:
    """Return the interval in seconds between heartbeats without changes.

    :param peers: number of other instances that may be running.

    Every instance sends heartbeats to every other one, so the interval grows
    with the number of peers to bound the load on each instance.

    >>> heartbeat_interval_s(10)
    0.4
    >>> heartbeat_interval_s(60)
    2.0
    """
    return min(
        HEARTBEAT_INTERVAL_S * max(peers / _MAX_PEERS_AT_FULL_RATE, 1),
        _MAX_INTERVAL_S,
    )


def failure_timeout_s(peers: int) -> float:
    """Return after how many seconds without a heartbeat a peer has failed.

    :param peers: number of other instances that may be running.
    """
    return (
        _MAX_MISSED_HEARTBEATS * heartbeat_interval_s(peers) + REPLY_TIMEOUT_S
    )


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    sent_s: float
    member_sent_s: float
    heartbeat: FleetBeat


class HeartbeatThrottle:
    """Suppresses heartbeats and member records that a peer already has."""

    def __init__(self) -> None:
        """Start with no heartbeat sent."""
        self._last: _SentHeartbeat | None = None
        self._is_answered = False

    def next_heartbeat(
        self,
        heartbeat: FleetBeat,
        peers: int,
        now_s: float,
        *,
        is_elected: bool,
    ) -> FleetBeat | None:
        """Return the heartbeat to send now, or None if none is due.

        :param heartbeat: heartbeat with the current state and member record.
        :param peers: number of other instances that may be running.
        :param now_s: monotonic time in seconds.
        :param is_elected: whether this instance polls the store for its
            peers. Its heartbeats confirm that their tables are current, so
            none is suppressed.
        """
        last = self._last
        if last is None or not self._is_answered:
            return self._send_with_member(heartbeat, now_s)
        # Calls are about HEARTBEAT_INTERVAL_S apart. Half of that is the
        # tolerance for a call that comes a little early.
        interval_s = heartbeat_interval_s(peers) - HEARTBEAT_INTERVAL_S / 2
        is_due = is_elected or now_s - last.sent_s > interval_s
        if not is_due and not _has_changes(heartbeat, last.heartbeat):
            return None
        is_known = heartbeat.member == last.heartbeat.member
        if not is_known or now_s - last.member_sent_s > _MEMBER_REFRESH_S:
            return self._send_with_member(heartbeat, now_s)
        self._record_sent(heartbeat, now_s, last.member_sent_s)
        return replace(heartbeat, member=None)

    def record_reply(self) -> None:
        """Record that the peer answered the last heartbeat."""
        self._is_answered = True

    def _send_with_member(
        self,
        heartbeat: FleetBeat,
        now_s: float,
    ) -> FleetBeat:
        self._record_sent(heartbeat, now_s, now_s)
        return heartbeat

    def _record_sent(
        self,
        heartbeat: FleetBeat,
        sent_s: float,
        member_sent_s: float,
    ) -> None:
        self._last = _SentHeartbeat(sent_s, member_sent_s, heartbeat)
        self._is_answered = False


def _has_changes(heartbeat: FleetBeat, last: FleetBeat) -> bool:
    if heartbeat.member != last.member:
        return True
    if heartbeat.store_answers != last.store_answers:
        return True
    if heartbeat.unreachable_services != last.unreachable_services:
        return True
    if heartbeat.loss_digest != last.loss_digest:
        return True
    return not set(heartbeat.losses) <= set(last.losses)
