"""Bounds that the operator's platform sets for steering."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SteeringBounds:
    """Figures that the operator promises to callers and targets.

    :param drain_s: time after which a leaving target gets nothing.
    :param grace_s: time from a planned stop to its forced end.
    :param retry_window_s: window of the budget of repeats.
    :param retry_ratio: repeats for each request within a window.
    :param retry_extra: further repeats of all instances within a window.
    :param cold_multiplier: factor on what a cold target bears a second.
    :param cold_extra: further requests a second that it bears.
    :param max_lookup_ttl_s: longest time that callers may keep a look-up.
    :param max_shift_per_s: share of a region's requests that may change the
        region in which they run, a second.
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
