"""Moving averages of request run times."""

from typing import Final

_GAIN: Final = 0.05  # averages over about twenty responses
_INITIAL_COLD_S: Final = 0.3
_INITIAL_WARM_S: Final = 0.1
_MAX_RATIO: Final = 2.5  # longer runs are capped as stragglers


class RunTimeEstimator:
    """Average run times of requests with cached and with uncached keys.

    Targets do not report whether a key was cached, so a run time is assigned
    to the average that is nearer by ratio. Run times are capped at a multiple
    of the average, so that stragglers do not distort it.
    """

    def __init__(self) -> None:
        """Start with default averages."""
        self._warm_s: dict[str, float] = {}
        self._cold_s: dict[str, float] = {}

    def warm_s(self, service: str) -> float:
        """Return the average run time with a cached key, in seconds."""
        return min(
            self._warm_s.get(service, _INITIAL_WARM_S),
            self.cold_s(service),
        )

    def cold_s(self, service: str) -> float:
        """Return the average run time with an uncached key, in seconds."""
        return self._cold_s.get(service, _INITIAL_COLD_S)

    def nearest_average_s(self, service: str, run_s: float) -> float:
        """Return the average that is nearer to a run time by ratio.

        :param service: name of the service.
        :param run_s: time from the start of the run to its response.
        """
        warm_s = self.warm_s(service)
        cold_s = self.cold_s(service)
        return warm_s if run_s * run_s < warm_s * cold_s else cold_s

    def observe(self, service: str, run_s: float) -> None:
        """Update the averages with the run time of one request.

        :param service: name of the service.
        :param run_s: time from the start of the run to its response.
        """
        average_s = self.nearest_average_s(service, run_s)
        is_warm = average_s < self.cold_s(service)
        bounded_s = min(run_s, average_s * _MAX_RATIO)
        updated_s = average_s + _GAIN * (bounded_s - average_s)
        if is_warm:
            self._warm_s[service] = updated_s
        else:
            self._cold_s[service] = updated_s
