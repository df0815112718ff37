"""The path of one request: from any front door to a target and back."""

from tamarackway_entry.forwarding._book import TargetBook as TargetBook
from tamarackway_entry.forwarding._bounds import (
    SteeringBounds as SteeringBounds,
)
from tamarackway_entry.forwarding._dialect import Dialect as Dialect
from tamarackway_entry.forwarding._dialect import Reply as Reply
from tamarackway_entry.forwarding._forwarder import Forwarder as Forwarder
from tamarackway_entry.forwarding._forwarder import Passage as Passage
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
