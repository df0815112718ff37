"""Order in which refused callers return to a rate-limited service."""

from typing import Final

_HORIZON_S: Final = 2.0  # callers give up or have other instances by then


class ReturnSchedule:
    """Spreads the return of refused callers over the tokens to come.

    Callers that all came back for the same token would be refused again. They
    return in the order of their refusals, up to a horizon.
    """

    def __init__(self) -> None:
        """Start without refused callers."""
        self._last_return_s: dict[str, float] = {}

    def next_delay_s(
        self, service: str, wait_s: float, rate_per_s: float, now_s: float
    ) -> float:
        """Return after how many seconds a refused caller should return.

        :param service: name of the service.
        :param wait_s: time in seconds until the next token.
        :param rate_per_s: tokens per second after that.
        :param now_s: monotonic time in seconds.
        """
        earliest_s = now_s + min(wait_s, _HORIZON_S)
        last_s = self._last_return_s.get(service, now_s)
        if rate_per_s > 0:
            earliest_s = max(earliest_s, last_s + 1 / rate_per_s)
        return_s = min(earliest_s, now_s + _HORIZON_S)
        self._last_return_s[service] = return_s
        return return_s - now_s
