"""Clients of the platform: table service, object store and instance list."""

from tamarackway_entry.platform._inventory import (
    InventoryService as InventoryService,
)
from tamarackway_entry.platform._objects import ObjectStore as ObjectStore
from tamarackway_entry.platform._table import ANY_REVISION as ANY_REVISION
from tamarackway_entry.platform._table import Committed as Committed
from tamarackway_entry.platform._table import Conflict as Conflict
from tamarackway_entry.platform._table import Operation as Operation
from tamarackway_entry.platform._table import Row as Row
from tamarackway_entry.platform._table import TableService as TableService
from tamarackway_entry.store import (
    StoreInDoubtError as StoreInDoubtError,
)
from tamarackway_entry.store import (
    StoreUnavailableError as StoreUnavailableError,
)
