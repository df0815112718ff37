"""Latencies and counts of one run."""

from dataclasses import dataclass, field
from typing import Final

_PERCENT: Final = 100
_MS_PER_S: Final = 1000


@dataclass(slots=True)
class Results:
    """What a run has shown.

    :param short_s: latencies of requests that are no stragglers.
    :param all_s: latencies of all requests.
    :param attempts: attempts at targets by kind.
    :param lost: times at which requests were lost.
    """

    short_s: list[float] = field(default_factory=list)
    all_s: list[float] = field(default_factory=list)
    attempts: dict[str, int] = field(default_factory=dict)
    lost: list[float] = field(default_factory=list)

    def count_attempt(self, kind: str) -> None:
        """Count an attempt."""
        self.attempts[kind] = self.attempts.get(kind, 0) + 1

    def short_ms(self, percentile: float) -> float:
        """Return a percentile over short requests in milliseconds."""
        return _percentile(self.short_s, percentile) * _MS_PER_S

    def all_ms(self, percentile: float) -> float:
        """Return a percentile over all requests in milliseconds."""
        return _percentile(self.all_s, percentile) * _MS_PER_S

    @property
    def extra_percent(self) -> float:
        """Attempts beyond the first ones, in percent of these."""
        extra = sum(
            count for kind, count in self.attempts.items() if kind != 'first'
        )
        return extra / max(self.attempts.get('first', 1), 1) * _PERCENT


def _percentile(samples: list[float], percentile: float) -> float:
    ordered = sorted(samples)
    index = int(len(ordered) * percentile / _PERCENT)
    return ordered[min(index, len(ordered) - 1)]
