"""State that this instance exchanges with its peers, and housekeeping."""

from tamarackway_entry.instance._housekeeping import (
    Housekeeping as Housekeeping,
)
from tamarackway_entry.instance._instance import EntryInstance as EntryInstance
from tamarackway_entry.instance._serving import ServerService as ServerService
