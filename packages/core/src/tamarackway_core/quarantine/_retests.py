"""Schedule of retests, by which a quarantined request is run once more."""

import itertools
import zlib
from collections.abc import Sequence
from typing import Final

QUARANTINE_LOSSES: Final = 2
# Losses that are this close belong to one submission of the request: it is
# retried on another target, and its caller retries at another instance.
_SUBMISSION_S: Final = 3.0
_FIRST_WAIT_S: Final = 5.0
_WAIT_FACTOR: Final = 12.0  # each failed retest costs another target
_MAX_WAIT_S: Final = 86_400.0
_TURN_S: Final = 1.0
# Instances learn of a loss at slightly different times, so that the turns of
# two instances must not touch.
_USED_SHARE: Final = 0.5
_MAX_TURNS: Final = 32  # bounds the wait for a turn in a large fleet


def retest_wait_s(losses_s: Sequence[float]) -> float:
    """Return how long after its last loss a request may be tried again.

    The wait grows with each retest that has failed, that is, with each loss
    that came later than those that led to the quarantine.

    :param losses_s: monotonic times of its losses, at least two.

    >>> retest_wait_s([10, 10.1])
    5.0
    >>> retest_wait_s([10, 10.1, 16, 80])
    720.0
    """
    ordered_s = sorted(losses_s)[QUARANTINE_LOSSES - 1 :]
    failed = sum(
        later_s - earlier_s > _SUBMISSION_S
        for earlier_s, later_s in itertools.pairwise(ordered_s)
    )
    return min(_FIRST_WAIT_S * _WAIT_FACTOR**failed, _MAX_WAIT_S)


def has_turn(
    fingerprint: str, waited_s: float, position: int, instances: int
) -> bool:
    """Return whether it is the turn of an instance to try a request.

    :param fingerprint: digest of the request.
    :param waited_s: time since retests of the request may begin.
    :param position: position of the instance among all, in order of names.
    :param instances: number of instances.
    """
    turn, elapsed_s = divmod(waited_s, _TURN_S)
    if waited_s < 0 or not instances or elapsed_s >= _TURN_S * _USED_SHARE:
        return False
    turns = min(instances, _MAX_TURNS)
    first = zlib.crc32(fingerprint.encode())
    return (first + int(turn)) % turns == position % turns
