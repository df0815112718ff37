"""Limits: caps, limits of targets, and of what one instance takes on."""

from tamarackway_core.limits._admission import AdmissionQueue as AdmissionQueue
from tamarackway_core.limits._bucket import TokenBucket as TokenBucket
from tamarackway_core.limits._leased_share import LeasedShare as LeasedShare
from tamarackway_core.limits._leases import LEASE_DURATION_S as LEASE_DURATION_S
from tamarackway_core.limits._leases import Lease as Lease
from tamarackway_core.limits._leases import LeaseObserver as LeaseObserver
from tamarackway_core.limits._leases import LeaseTable as LeaseTable
from tamarackway_core.limits._leases import floor_share as floor_share
from tamarackway_core.limits._leases import grant as grant
from tamarackway_core.limits._pauses import TargetPauses as TargetPauses
from tamarackway_core.limits._return_schedule import (
    ReturnSchedule as ReturnSchedule,
)
from tamarackway_core.limits._target_rate import (
    TargetRateLimit as TargetRateLimit,
)
from tamarackway_core.limits._target_rate import (
    TargetRateLimiter as TargetRateLimiter,
)
