"""Times for which targets want no requests from this instance."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

_MAX_PAUSE_S: Final = 600.0  # a longer one is not believed
_MAX_KNOWN: Final = 4096  # more than the targets of a deployment
_PROBE_INTERVAL_S: Final = 0.25  # about one response time


@dataclass(slots=True)
class _Pause:
    """End of a pause, and the time of the next single request after it."""

    until_s: float
    next_probe_s: float


class TargetPauses:
    """Keeps requests from targets that refused one and named a time.

    Peers are not bound by such a time. After its end, single requests are sent
    at intervals until one is answered without a new time: a target that is
    still busy would otherwise get all its traffic back at once.
    """

    def __init__(self) -> None:
        """Start without pauses."""
        self._by_target: OrderedDict[tuple[str, int], _Pause] = OrderedDict()

    def observe(
        self, target: str, incarnation: int, duration_s: float, now_s: float
    ) -> bool:
        """Record the time that a target names; return whether it is news.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param duration_s: time in seconds for which it wants no requests.
        :param now_s: monotonic time in seconds.

        Each such time holds on its own, so a shorter one ends no longer one.
        """
        key = (target, incarnation)
        until_s = now_s + min(duration_s, _MAX_PAUSE_S)
        known = self._by_target.get(key)
        if known is not None:
            known.until_s = max(known.until_s, until_s)
            known.next_probe_s = max(known.next_probe_s, known.until_s)
            return False
        self._by_target[key] = _Pause(until_s, until_s)
        if len(self._by_target) > _MAX_KNOWN:
            self._by_target.popitem(last=False)
        return True

    def record_answer(
        self, target: str, incarnation: int, sent_s: float
    ) -> None:
        """Record an answer that names no time.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param sent_s: monotonic time at which the request was sent.
        """
        known = self._by_target.get((target, incarnation))
        if known is not None and sent_s >= known.until_s:
            self._by_target.pop((target, incarnation))

    def record(self, target: str, incarnation: int, now_s: float) -> None:
        """Record that a request is sent to a target.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        """
        known = self._by_target.get((target, incarnation))
        if known is not None:
            probe_s = now_s + _PROBE_INTERVAL_S
            known.next_probe_s = max(known.next_probe_s, probe_s)

    def is_paused(self, target: str, incarnation: int, now_s: float) -> bool:
        """Return whether the time that a target named is not over.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        """
        known = self._by_target.get((target, incarnation))
        return known is not None and now_s < known.until_s

    def wait_s(self, target: str, incarnation: int, now_s: float) -> float:
        """Return the time in seconds until a request may be sent, 0 for now.

        :param target: name of the target.
        :param incarnation: its incarnation.
        :param now_s: monotonic time in seconds.
        """
        known = self._by_target.get((target, incarnation))
        return 0 if known is None else max(known.next_probe_s - now_s, 0)
