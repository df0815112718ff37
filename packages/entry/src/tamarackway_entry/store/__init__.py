"""Interface to a store of rows with a history of their changes."""

from tamarackway_entry.store._errors import (
    HistoryCompactedError as HistoryCompactedError,
)
from tamarackway_entry.store._errors import (
    StoreInDoubtError as StoreInDoubtError,
)
from tamarackway_entry.store._errors import (
    StoreUnavailableError as StoreUnavailableError,
)
from tamarackway_entry.store._rows import ReadResult as ReadResult
from tamarackway_entry.store._rows import RowStore as RowStore
from tamarackway_entry.store._rows import RowWrite as RowWrite
