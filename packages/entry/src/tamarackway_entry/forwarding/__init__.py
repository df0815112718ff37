"""Forwarding of requests from any listener to a target, and of responses."""

from tamarackway_entry.forwarding._bounds import (
    SteeringBounds as SteeringBounds,
)
from tamarackway_entry.forwarding._catalogue_updater import (
    CatalogueUpdater as CatalogueUpdater,
)
from tamarackway_entry.forwarding._codec import (
    ResponseMetadata as ResponseMetadata,
)
from tamarackway_entry.forwarding._codec import TargetCodec as TargetCodec
from tamarackway_entry.forwarding._context import (
    RequestContext as RequestContext,
)
from tamarackway_entry.forwarding._detours import DetourCodec as DetourCodec
from tamarackway_entry.forwarding._detours import DetourRouter as DetourRouter
from tamarackway_entry.forwarding._detours import DetourSender as DetourSender
from tamarackway_entry.forwarding._forwarder import Forwarder as Forwarder
from tamarackway_entry.forwarding._model import ForwardRequest as ForwardRequest
from tamarackway_entry.forwarding._model import (
    ForwardResponse as ForwardResponse,
)
from tamarackway_entry.forwarding._model import Origin as Origin
from tamarackway_entry.forwarding._record import (
    RequestRecorder as RequestRecorder,
)
from tamarackway_entry.forwarding._sender import TargetSender as TargetSender
from tamarackway_entry.forwarding._state import SteeringState as SteeringState
