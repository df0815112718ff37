"""How often instances tell each other that they are alive."""

from dataclasses import dataclass, replace
from typing import Final

from tamarackway_core.wire import FleetBeat

BEAT_S: Final = 0.4
REPLY_TIMEOUT_S: Final = 0.8  # several round trips between far regions
_FULL_PACE: Final = 12  # peers; heartbeats to more than that come less often
_LONGEST_BEAT_S: Final = 4.0
_MISSED: Final = 2  # heartbeats
_DESCRIBED_S: Final = 4.0  # a peer that missed the description has it again


def beat_interval_s(peers: int) -> float:
    """Return the time between heartbeats that tell nothing new, in seconds.

    :param peers: other instances that may be running.

    Every instance hears from every other one, so the interval grows with
    their number and the heartbeats of one instance stay bounded.

    >>> beat_interval_s(10)
    0.4
    >>> beat_interval_s(60)
    2.0
    """
    return min(BEAT_S * max(peers / _FULL_PACE, 1), _LONGEST_BEAT_S)


def silence_s(peers: int) -> float:
    """Return after how many seconds a silent instance counts as lost.

    :param peers: other instances that may be running.
    """
    return _MISSED * beat_interval_s(peers) + REPLY_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class _Told:
    sent_s: float
    described_s: float
    beat: FleetBeat


class BeatPacer:
    """Leaves out of the heartbeats to one peer what tells it nothing new."""

    def __init__(self) -> None:
        """Start with a peer that was told nothing."""
        self._told: _Told | None = None
        self._is_answered = False

    def pace(
        self,
        beat: FleetBeat,
        peers: int,
        now_s: float,
        *,
        follows: bool,
    ) -> FleetBeat | None:
        """Return the heartbeat to send now, or None if there is no need.

        :param beat: the whole heartbeat.
        :param peers: other instances that may be running.
        :param now_s: monotonic time in seconds.
        :param follows: whether this instance follows the store for the
            others, which then need each of its heartbeats.
        """
        told = self._told
        if told is None or not self._is_answered:
            return self._describe(beat, now_s)
        interval_s = beat_interval_s(peers) - BEAT_S / 2
        is_due = follows or now_s - told.sent_s > interval_s
        if not is_due and not _is_news(beat, told.beat):
            return None
        is_known = beat.member == told.beat.member
        if not is_known or now_s - told.described_s > _DESCRIBED_S:
            return self._describe(beat, now_s)
        self._note(beat, now_s, told.described_s)
        return replace(beat, member=None)

    def confirm(self) -> None:
        """Note that the last heartbeat was answered."""
        self._is_answered = True

    def _describe(self, beat: FleetBeat, now_s: float) -> FleetBeat:
        self._note(beat, now_s, now_s)
        return beat

    def _note(self, beat: FleetBeat, sent_s: float, described_s: float) -> None:
        self._told = _Told(sent_s, described_s, beat)
        self._is_answered = False


def _is_news(beat: FleetBeat, told: FleetBeat) -> bool:
    if beat.member != told.member:
        return True
    if beat.store_answers != told.store_answers:
        return True
    return not set(beat.losses) <= set(told.losses)
