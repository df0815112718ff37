"""Token bucket that bounds the rate over any window of some seconds."""

import math
from typing import Final

WINDOW_S: Final = 10.0
_BURST_DURATION_S: Final = 0.1  # a full bucket holds the tokens of this time


class TokenBucket:
    """Admits requests at a limited rate.

    :param share_per_s: maximum rate in requests per second.
    :param now_s: monotonic time in seconds.
    :param window_s: shortest window in seconds over which the rate must hold.
    :param tokens: tokens in the bucket at the start, at most 1.

    In any window of that length or longer, at most the largest rate in force
    within the window times its length is admitted. A burst from a full bucket
    is part of that, so the bucket is refilled at less than the rate.
    """

    def __init__(
        self,
        share_per_s: float,
        now_s: float,
        window_s: float = WINDOW_S,
        *,
        tokens: float = 0,
    ) -> None:
        """Start with an empty bucket unless told otherwise."""
        self._window_s = window_s
        self._share_per_s = share_per_s
        self._tokens = tokens
        self._refilled_at_s = now_s

    @property
    def share_per_s(self) -> float:
        """The rate in requests per second."""
        return self._share_per_s

    def set_share(
        self, share_per_s: float, now_s: float, window_s: float = WINDOW_S
    ) -> None:
        """Change the rate.

        :param share_per_s: maximum rate in requests per second from now on.
        :param now_s: monotonic time in seconds.
        :param window_s: shortest window in seconds over which it must hold.
        """
        self._refill(now_s)
        self._window_s = window_s
        self._share_per_s = share_per_s
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now_s: float) -> bool:
        """Take a token and return True, or return False if there is none.

        :param now_s: monotonic time in seconds.
        """
        self._refill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_s(self, now_s: float) -> float:
        """Return the time in seconds until there is a token.

        :param now_s: monotonic time in seconds.
        """
        self._refill(now_s)
        if self._tokens >= 1:
            return 0
        rate_per_s = self._refill_per_s
        return (1 - self._tokens) / rate_per_s if rate_per_s else math.inf

    @property
    def _capacity(self) -> float:
        return max(self._share_per_s * _BURST_DURATION_S, 1.0)

    @property
    def _refill_per_s(self) -> float:
        return max(self._share_per_s - self._capacity / self._window_s, 0)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._refilled_at_s, 0)
        self._tokens = min(
            self._tokens + elapsed_s * self._refill_per_s,
            self._capacity,
        )
        self._refilled_at_s = max(now_s, self._refilled_at_s)
