"""Errors of store calls."""

from tamarackway_core.errors import TamarackwayError


class StoreUnavailableError(TamarackwayError):
    """The call failed and had no effect."""

    def __init__(self, problem: str) -> None:
        """Set the remedy."""
        super().__init__(problem, 'try again once the platform is up')


class StoreInDoubtError(TamarackwayError):
    """The answer was lost; the call may have taken effect."""

    def __init__(self, problem: str) -> None:
        """Set the remedy."""
        super().__init__(problem, 'read back what the call wrote')


class HistoryCompactedError(TamarackwayError):
    """The store no longer holds the changes after the given version."""

    def __init__(self, table: str) -> None:
        """Set the remedy."""
        super().__init__(
            f'the history of table {table!r} has been compacted',
            'read the whole table again',
        )
