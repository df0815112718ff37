"""Circuit breaker for an external service."""


class CircuitBreaker:
    """Refuses calls after a failure until a probe succeeds.

    :param probe_interval_s: minimum time between probes in seconds.
    """

    def __init__(self, probe_interval_s: float) -> None:
        """Start in the closed state."""
        self._probe_interval_s = probe_interval_s
        self._next_probe_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether ordinary calls are refused."""
        return self._next_probe_s is not None

    def record_failure(self, now_s: float) -> None:
        """Record a failed call.

        :param now_s: monotonic time in seconds.
        """
        self._next_probe_s = now_s + self._probe_interval_s

    def record_success(self) -> None:
        """Record a successful call."""
        self._next_probe_s = None

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next probe in seconds, or 0.

        :param now_s: monotonic time in seconds.
        """
        if self._next_probe_s is None:
            return 0
        return max(self._next_probe_s - now_s, 0)
