"""Region and target selection, retry budgets and outlier detection."""

from tamarackway_core.routing._budget import RetryBudget as RetryBudget
from tamarackway_core.routing._latency import LatencyWindow as LatencyWindow
from tamarackway_core.routing._outliers import (
    OutlierDetector as OutlierDetector,
)
from tamarackway_core.routing._outliers import (
    OutlierSettings as OutlierSettings,
)
from tamarackway_core.routing._policies import (
    LeastCostPolicy as LeastCostPolicy,
)
from tamarackway_core.routing._policies import RandomPolicy as RandomPolicy
from tamarackway_core.routing._policies import (
    RoundRobinPolicy as RoundRobinPolicy,
)
from tamarackway_core.routing._policies import TargetPolicy as TargetPolicy
from tamarackway_core.routing._policies import (
    TwoChoicesPolicy as TwoChoicesPolicy,
)
from tamarackway_core.routing._ramp import effective_share as effective_share
from tamarackway_core.routing._ramp import shares_in_force as shares_in_force
from tamarackway_core.routing._regions import RegionChoice as RegionChoice
from tamarackway_core.routing._regions import order_regions as order_regions
from tamarackway_core.routing._router import Choice as Choice
from tamarackway_core.routing._router import RouterSettings as RouterSettings
from tamarackway_core.routing._router import ServiceRouter as ServiceRouter
from tamarackway_core.routing._tracker import TargetTracker as TargetTracker
from tamarackway_core.routing._tracker import Verdict as Verdict
