"""One budget for all extra attempts of a service."""

from typing import Final

_MAX_SAVED: Final = 10.0


class RetryBudget:
    """Tokens that hedges and retries spend and first attempts earn.

    :param share: extra attempts for each first attempt, such as 0.05.

    The number of extra attempts stays below ``share`` times the number of
    first attempts, but for the few tokens that a quiet time saves up.
    """

    def __init__(self, share: float) -> None:
        """Start with one token so that a first failure can be retried."""
        self._share = share
        self._tokens = 1.0

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._share, _MAX_SAVED)

    def spend(self) -> bool:
        """Take one token and return True, or return False without one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
