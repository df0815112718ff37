"""How a call of the platform can fail."""

from tamarackway_core.errors import TamarackwayError


class StoreUnavailableError(TamarackwayError):
    """The call certainly had no effect."""

    def __init__(self, problem: str) -> None:
        """Name the remedy."""
        super().__init__(problem, 'try again once the platform is up')


class StoreInDoubtError(TamarackwayError):
    """The answer was lost, so the call may have had its effect."""

    def __init__(self, problem: str) -> None:
        """Name the remedy."""
        super().__init__(problem, 'read back what the call wrote')


class HistoryCompactedError(TamarackwayError):
    """The store no longer knows what changed after a version."""

    def __init__(self, table: str) -> None:
        """Name the remedy."""
        super().__init__(
            f'the history of table {table!r} is gone',
            'read the whole table again',
        )
