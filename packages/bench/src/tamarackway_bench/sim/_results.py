"""Latencies and attempt counts of a run."""

from dataclasses import dataclass, field
from typing import Final

_PERCENT: Final = 100
_MS_PER_S: Final = 1000


@dataclass(slots=True)
class Results:
    """Results of a simulation run.

    :param short_s: latencies in seconds of requests that are no stragglers.
    :param all_s: latencies in seconds of all requests.
    :param attempts: number of attempts by kind: first, hedge or trial.
    :param lost: times in seconds at which requests were lost.
    """

    short_s: list[float] = field(default_factory=list)
    all_s: list[float] = field(default_factory=list)
    attempts: dict[str, int] = field(default_factory=dict)
    lost: list[float] = field(default_factory=list)

    def count_attempt(self, kind: str) -> None:
        """Count an attempt of a kind."""
        self.attempts[kind] = self.attempts.get(kind, 0) + 1

    def short_ms(self, percentile: float) -> float:
        """Return a latency percentile of short requests in milliseconds."""
        return _percentile(self.short_s, percentile) * _MS_PER_S

    def all_ms(self, percentile: float) -> float:
        """Return a latency percentile of all requests in milliseconds."""
        return _percentile(self.all_s, percentile) * _MS_PER_S

    @property
    def extra_percent(self) -> float:
        """Hedges and trials in percent of first attempts."""
        extra = sum(
            count for kind, count in self.attempts.items() if kind != 'first'
        )
        return extra / max(self.attempts.get('first', 1), 1) * _PERCENT


def _percentile(samples: list[float], percentile: float) -> float:
    ordered = sorted(samples)
    index = int(len(ordered) * percentile / _PERCENT)
    return ordered[min(index, len(ordered) - 1)]
