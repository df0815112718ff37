"""Request routing: routers and queues of services, and lost targets."""

from tamarackway_entry.routes._losses import LossService as LossService
from tamarackway_entry.routes._queue import SlotQueue as SlotQueue
from tamarackway_entry.routes._request import CallerRequest as CallerRequest
from tamarackway_entry.routes._service import RouteService as RouteService
