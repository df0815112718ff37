"""Settings of the daemon, read from a TOML file."""

from tamarackway_entry.settings._load import load_settings as load_settings
from tamarackway_entry.settings._load import parse_settings as parse_settings
from tamarackway_entry.settings._load import read_file as read_file
from tamarackway_entry.settings._model import AdminSettings as AdminSettings
from tamarackway_entry.settings._model import CallerSettings as CallerSettings
from tamarackway_entry.settings._model import (
    InstanceSettings as InstanceSettings,
)
from tamarackway_entry.settings._model import Operator as Operator
from tamarackway_entry.settings._model import PeerSettings as PeerSettings
from tamarackway_entry.settings._model import (
    PlatformSettings as PlatformSettings,
)
from tamarackway_entry.settings._model import (
    RoutingSettings as RoutingSettings,
)
from tamarackway_entry.settings._model import Settings as Settings
from tamarackway_entry.settings._model import (
    TelemetrySettings as TelemetrySettings,
)
