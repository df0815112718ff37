"""Token bucket that keeps a rate over any window of ten seconds."""

from typing import Final

WINDOW_S: Final = 10.0
_BURST_S: Final = 0.1


class TokenBucket:
    """Admits requests at the rate of a share.

    :param share_per_s: requests that may start in a second.
    :param now_s: monotonic time in seconds.

    In any window of ten seconds or longer no more requests are admitted than
    the largest share in force within it, times the window's length.
    """

    def __init__(self, share_per_s: float, now_s: float) -> None:
        """Start with an empty bucket."""
        self._share_per_s = share_per_s
        self._tokens: float = 0
        self._filled_s = now_s

    @property
    def share_per_s(self) -> float:
        """The share in requests a second."""
        return self._share_per_s

    def set_share(self, share_per_s: float, now_s: float) -> None:
        """Change the share.

        :param share_per_s: requests that may start in a second from now on.
        :param now_s: monotonic time in seconds.
        """
        self._fill(now_s)
        self._share_per_s = share_per_s
        self._tokens = min(self._tokens, self._burst)

    def take(self, now_s: float) -> bool:
        """Admit one request and return True, or return False.

        :param now_s: monotonic time in seconds.
        """
        self._fill(now_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    @property
    def _burst(self) -> float:
        return max(self._share_per_s * _BURST_S, 1.0)

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(now_s - self._filled_s, 0)
        rate_per_s = max(self._share_per_s - self._burst / WINDOW_S, 0)
        self._tokens = min(
            self._tokens + elapsed_s * rate_per_s,
            self._burst,
        )
        self._filled_s = max(now_s, self._filled_s)
