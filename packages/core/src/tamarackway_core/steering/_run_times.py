"""Moving averages of request run times by service."""

from typing import Final

_GAIN: Final = 0.05  # the average follows about the last 20 responses
_INITIAL_UNCACHED_S: Final = 0.3
_INITIAL_CACHED_S: Final = 0.1
_MAX_RATIO: Final = 2.5  # a single straggler must not distort the average


class RunTimeEstimator:
    """Average run times of requests with cached and with uncached keys.

    Targets do not report whether a key was cached, so a run time is assigned
    to the average that is nearer by ratio. Run times are capped at a multiple
    of the average.
    """

    def __init__(self) -> None:
        """Start with default averages."""
        self._cached_s: dict[str, float] = {}
        self._uncached_s: dict[str, float] = {}

    def cached_s(self, service: str) -> float:
        """Return the average run time with a cached key, in seconds."""
        return min(
            self._cached_s.get(service, _INITIAL_CACHED_S),
            self.uncached_s(service),
        )

    def uncached_s(self, service: str) -> float:
        """Return the average run time with an uncached key, in seconds."""
        return self._uncached_s.get(service, _INITIAL_UNCACHED_S)

    def nearest_average_s(self, service: str, run_s: float) -> float:
        """Return the average that is nearer to a run time by ratio.

        :param service: name of the service.
        :param run_s: time from the start of the run to its response.
        """
        cached_s = self.cached_s(service)
        uncached_s = self.uncached_s(service)
        return cached_s if run_s * run_s < cached_s * uncached_s else uncached_s

    def observe(self, service: str, run_s: float) -> None:
        """Update the averages with the run time of one request.

        :param service: name of the service.
        :param run_s: time from the start of the run to its response.
        """
        average_s = self.nearest_average_s(service, run_s)
        is_cached = average_s < self.uncached_s(service)
        bounded_s = min(run_s, average_s * _MAX_RATIO)
        updated_s = average_s + _GAIN * (bounded_s - average_s)
        if is_cached:
            self._cached_s[service] = updated_s
        else:
            self._uncached_s[service] = updated_s
