"""One budget for all extra attempts of a service."""

from typing import Final

_MAX_SAVED: Final = 10.0
_RETRY_RESERVE: Final = 5.0


class RetryBudget:
    """Tokens that hedges and retries spend and first attempts earn.

    :param share: extra attempts for each first attempt, such as 0.05.

    The number of extra attempts stays below ``share`` times the number of
    first attempts, but for the few tokens that are there at the start or that
    a quiet time saves up. Hedges leave a reserve to retries, since a request
    whose target was lost has no other way to an answer.
    """

    def __init__(self, share: float) -> None:
        """Start with the reserve, so that first failures can be retried."""
        self._share = share
        self._tokens = _RETRY_RESERVE

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._share, _MAX_SAVED)

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
