"""Limits that the platform sets for request routing."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SteeringBounds:
    """Limits that the operator guarantees to callers and targets.

    A target is cold while its caches are probably empty, as after its start.

    :param drain_s: time after which a leaving target gets no more requests.
    :param grace_s: time from a planned shutdown to its forced end.
    :param retry_window_s: window of the retry budget in seconds.
    :param retry_ratio: retries per request within a window.
    :param retry_extra: additional retries of all instances together in a
        window.
    :param cold_multiplier: factor on the request rate limit of a cold target.
    :param cold_extra: requests per second added to that limit.
    :param max_lookup_ttl_s: longest TTL of a directory look-up for callers.
    :param max_shift_per_s: largest fraction of the requests of a region whose
        target region may change within a second.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_window_s: float = 10.0
    retry_ratio: float = 0.2
    retry_extra: float = 0
    cold_multiplier: float = 1.0
    cold_extra: float = 0
    max_lookup_ttl_s: float = 5
    max_shift_per_s: float = 1.0
