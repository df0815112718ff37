"""Routing of single requests: route, target and retry budget."""

from tamarackway_core.steering._catalogue import Catalogue as Catalogue
from tamarackway_core.steering._cold_start import (
    ColdStartLimiter as ColdStartLimiter,
)
from tamarackway_core.steering._configurations import (
    ConfigurationOrder as ConfigurationOrder,
)
from tamarackway_core.steering._demand import DemandTracker as DemandTracker
from tamarackway_core.steering._evacuations import (
    EvacuationTracker as EvacuationTracker,
)
from tamarackway_core.steering._model import CallerLimits as CallerLimits
from tamarackway_core.steering._model import Configuration as Configuration
from tamarackway_core.steering._model import LeavingTarget as LeavingTarget
from tamarackway_core.steering._model import LoadReport as LoadReport
from tamarackway_core.steering._model import OutdatedTarget as OutdatedTarget
from tamarackway_core.steering._model import Route as Route
from tamarackway_core.steering._model import ServicePolicy as ServicePolicy
from tamarackway_core.steering._model import ServiceShare as ServiceShare
from tamarackway_core.steering._model import TargetRecord as TargetRecord
from tamarackway_core.steering._ranking import TargetRanking as TargetRanking
from tamarackway_core.steering._reachability import (
    ReachabilityMonitor as ReachabilityMonitor,
)
from tamarackway_core.steering._regions import split_demand as split_demand
from tamarackway_core.steering._retry_budget import (
    WindowedRetryBudget as WindowedRetryBudget,
)
from tamarackway_core.steering._routes import RouteTable as RouteTable
from tamarackway_core.steering._run_times import (
    RunTimeEstimator as RunTimeEstimator,
)
from tamarackway_core.steering._selector import Candidate as Candidate
from tamarackway_core.steering._selector import TargetQuery as TargetQuery
from tamarackway_core.steering._selector import TargetSelector as TargetSelector
from tamarackway_core.steering._split import pick_service as pick_service
from tamarackway_core.steering._target_stats import TargetStats as TargetStats
from tamarackway_core.steering._target_stats import (
    TargetStatsRegistry as TargetStatsRegistry,
)
