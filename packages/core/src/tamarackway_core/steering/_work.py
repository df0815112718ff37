"""Learns how long requests of a service run, warm and cold."""

from typing import Final

_GAIN: Final = 0.05  # about the last twenty answers decide
_FIRST_COLD_S: Final = 0.3
_FIRST_WARM_S: Final = 0.1
_LONGEST_RATIO: Final = 2.5  # longer runs are stragglers


class RunTimeEstimator:
    """Moving averages of run times, apart for known and unknown keys.

    Nobody tells whether a target knew the key, so a run counts for the average
    that it is nearer to in proportion. A run much longer than usual counts as
    a few usual ones, so stragglers do not hide what most requests need.
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

    def nearest_average_s(self, service: str, run_s: float) -> float:
        """Return the average that a run time is nearer to in proportion.

        :param service: service that ran it.
        :param run_s: time from its start to its answer.
        """
        warm_s = self.warm_s(service)
        cold_s = self.cold_s(service)
        return warm_s if run_s * run_s < warm_s * cold_s else cold_s

    def observe(self, service: str, run_s: float) -> None:
        """Take in the run time of one request.

        :param service: service that ran it.
        :param run_s: time from its start to its answer.
        """
        usual_s = self.nearest_average_s(service, run_s)
        is_warm = usual_s < self.cold_s(service)
        bounded_s = min(run_s, usual_s * _LONGEST_RATIO)
        learnt_s = usual_s + _GAIN * (bounded_s - usual_s)
        if is_warm:
            self._warm_s[service] = learnt_s
        else:
            self._cold_s[service] = learnt_s
