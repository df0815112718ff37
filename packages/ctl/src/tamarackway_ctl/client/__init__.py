"""Client of the administration API."""

from tamarackway_ctl.client._client import AdminClient as AdminClient
from tamarackway_ctl.client._errors import ApiError as ApiError
from tamarackway_ctl.client._errors import ExitCode as ExitCode
