"""What the daemon asks of the store that keeps rows and their history."""

from tamarackway_entry.store._errors import (
    HistoryGoneError as HistoryGoneError,
)
from tamarackway_entry.store._errors import (
    StoreInDoubtError as StoreInDoubtError,
)
from tamarackway_entry.store._errors import (
    StoreUnavailableError as StoreUnavailableError,
)
from tamarackway_entry.store._rows import RowsRead as RowsRead
from tamarackway_entry.store._rows import RowStore as RowStore
from tamarackway_entry.store._rows import RowWrite as RowWrite
