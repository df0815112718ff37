"""Messages between entry instances and their CBOR encoding."""

from tamarackway_core.wire._codec import MAX_MESSAGE_BYTES as MAX_MESSAGE_BYTES
from tamarackway_core.wire._codec import Envelope as Envelope
from tamarackway_core.wire._codec import decode as decode
from tamarackway_core.wire._codec import encode as encode
from tamarackway_core.wire._fleet import (
    ConfigurationReply as ConfigurationReply,
)
from tamarackway_core.wire._fleet import (
    ConfigurationRequest as ConfigurationRequest,
)
from tamarackway_core.wire._fleet import FleetBeat as FleetBeat
from tamarackway_core.wire._fleet import FleetMember as FleetMember
from tamarackway_core.wire._fleet import LossesReply as LossesReply
from tamarackway_core.wire._fleet import LossesRequest as LossesRequest
from tamarackway_core.wire._fleet import RowsRelay as RowsRelay
from tamarackway_core.wire._fleet import StoredRow as StoredRow
from tamarackway_core.wire._messages import ExplainReply as ExplainReply
from tamarackway_core.wire._messages import ExplainRequest as ExplainRequest
from tamarackway_core.wire._messages import Heartbeat as Heartbeat
from tamarackway_core.wire._messages import JoinReply as JoinReply
from tamarackway_core.wire._messages import JoinRequest as JoinRequest
from tamarackway_core.wire._messages import LossReport as LossReport
from tamarackway_core.wire._messages import Message as Message
from tamarackway_core.wire._messages import Ok as Ok
from tamarackway_core.wire._messages import PlanPush as PlanPush
from tamarackway_core.wire._messages import PlanReply as PlanReply
from tamarackway_core.wire._messages import PlanRequest as PlanRequest
