"""Exceptions, and reasons for refused requests."""

from tamarackway_core.errors._kinds import ConflictError as ConflictError
from tamarackway_core.errors._kinds import SettingsError as SettingsError
from tamarackway_core.errors._kinds import SheetError as SheetError
from tamarackway_core.errors._kinds import SheetFault as SheetFault
from tamarackway_core.errors._kinds import TamarackwayError as TamarackwayError
from tamarackway_core.errors._kinds import WireError as WireError
from tamarackway_core.errors._refusals import REMEDIES as REMEDIES
from tamarackway_core.errors._refusals import Reason as Reason
from tamarackway_core.errors._refusals import Refusal as Refusal
