"""Rate limits that entry instances share by leases."""

from tamarackway_core.limits._bucket import TokenBucket as TokenBucket
from tamarackway_core.limits._holder import LeasedShare as LeasedShare
from tamarackway_core.limits._shares import LEASE_DURATION_S as LEASE_DURATION_S
from tamarackway_core.limits._shares import Lease as Lease
from tamarackway_core.limits._shares import LeaseObserver as LeaseObserver
from tamarackway_core.limits._shares import LeaseTable as LeaseTable
from tamarackway_core.limits._shares import floor_share as floor_share
from tamarackway_core.limits._shares import grant as grant
