"""Start, leave and stop of this instance."""

from tamarackway_entry.lifecycle._lifecycle import Lifecycle as Lifecycle
from tamarackway_entry.lifecycle._shutdown import (
    ShutdownService as ShutdownService,
)
