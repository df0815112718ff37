"""Weighted choice among the services of a route."""

from collections.abc import Sequence

from tamarackway_core.steering._model import ServiceShare


def pick_service(shares: Sequence[ServiceShare], draw: float) -> str:
    """Return a service with a probability proportional to its weight.

    :param shares: services with their weights; at least one.
    :param draw: uniform random number in [0, 1).

    >>> pick_service([ServiceShare('a', 9), ServiceShare('b', 1)], 0.95)
    'b'
    """
    remaining = draw * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return max(shares, key=lambda share: share.weight).service
