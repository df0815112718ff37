"""Retry budget of a service, which includes hedged requests."""

from typing import Final

_MAX_TOKENS: Final = 10.0
_RETRY_RESERVE: Final = 5.0


class RetryBudget:
    """Tokens that first attempts add and that hedges and retries consume.

    :param share: extra attempts per first attempt, such as 0.05.

    The number of extra attempts stays below ``share`` times the number of
    first attempts, except for a few tokens that are available at the start or
    accumulate while few requests need a retry. Hedges leave a reserve for
    retries, since a request whose target failed gets no response otherwise.
    """

    def __init__(self, share: float) -> None:
        """Start with the reserve, so that early failures can be retried."""
        self._share = share
        self._tokens = _RETRY_RESERVE

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._share, _MAX_TOKENS)

    def spend_on_hedge(self) -> bool:
        """Take a token beyond the reserve and return True, or return False."""
        return self._spend(_RETRY_RESERVE)

    def spend_on_retry(self) -> bool:
        """Take one token and return True, or return False without one."""
        return self._spend(0)

    def _spend(self, reserve: float) -> bool:
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True
