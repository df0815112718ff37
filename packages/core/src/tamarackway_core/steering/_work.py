"""Learns how long requests of a service run, warm and cold."""

from typing import Final

_GAIN: Final = 0.05  # about the last twenty answers decide
_FIRST_COLD_S: Final = 0.3
_FIRST_WARM_S: Final = 0.1
_LONGEST_RATIO: Final = 4.0


class WorkTimes:
    """Moving averages of run times, apart for known and unknown keys.

    A run much longer than usual counts as a few usual ones, so stragglers do
    not hide what most requests need.
    """

    def __init__(self) -> None:
        """Start with a guess that the first answers correct."""
        self._warm_s: dict[str, float] = {}
        self._cold_s: dict[str, float] = {}

    def warm_s(self, service: str) -> float:
        """Return the usual run time where the key is known, in seconds."""
        return min(
            self._warm_s.get(service, _FIRST_WARM_S),
            self.cold_s(service),
        )

    def cold_s(self, service: str) -> float:
        """Return the usual run time where the key is new, in seconds."""
        return self._cold_s.get(service, _FIRST_COLD_S)

    def learn(self, service: str, run_s: float, *, warm: bool) -> None:
        """Take in the run time of one request.

        :param service: service that ran it.
        :param run_s: time from its start to its answer.
        :param warm: whether its target was thought to know the key.
        """
        averages = self._warm_s if warm else self._cold_s
        usual_s = averages.get(service)
        if usual_s is None:
            averages[service] = run_s
            return
        bounded_s = min(run_s, usual_s * _LONGEST_RATIO)
        averages[service] = usual_s + _GAIN * (bounded_s - usual_s)
