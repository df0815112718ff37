"""Distributes requests among the services of a route."""

from collections.abc import Sequence

from tamarackway_core.steering._model import ServiceShare


def pick_service(shares: Sequence[ServiceShare], draw: float) -> str:
    """Return the service that a uniform draw falls on.

    :param shares: services with their weights; one at least.
    :param draw: uniform random number from 0 up to 1.

    >>> pick_service([ServiceShare('a', 9), ServiceShare('b', 1)], 0.95)
    'b'
    """
    rest = draw * sum(share.weight for share in shares)
    for share in shares:
        rest -= share.weight
        if rest < 0:
            return share.service
    return max(shares, key=lambda share: share.weight).service
