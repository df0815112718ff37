"""Decisions on one request: its route, its target, repeats and refusals."""

from tamarackway_core.steering._catalogue import Catalogue as Catalogue
from tamarackway_core.steering._chooser import Candidate as Candidate
from tamarackway_core.steering._chooser import Chooser as Chooser
from tamarackway_core.steering._chooser import Wish as Wish
from tamarackway_core.steering._cold import ColdGate as ColdGate
from tamarackway_core.steering._demand import Demand as Demand
from tamarackway_core.steering._model import CallerLimits as CallerLimits
from tamarackway_core.steering._model import Configuration as Configuration
from tamarackway_core.steering._model import LoadReport as LoadReport
from tamarackway_core.steering._model import Route as Route
from tamarackway_core.steering._model import ServicePolicy as ServicePolicy
from tamarackway_core.steering._model import ServiceShare as ServiceShare
from tamarackway_core.steering._model import TargetRecord as TargetRecord
from tamarackway_core.steering._observed import Observations as Observations
from tamarackway_core.steering._observed import Observed as Observed
from tamarackway_core.steering._ranking import TargetRanking as TargetRanking
from tamarackway_core.steering._regions import split_demand as split_demand
from tamarackway_core.steering._repeats import RepeatBudget as RepeatBudget
from tamarackway_core.steering._routes import RouteTable as RouteTable
from tamarackway_core.steering._split import pick_service as pick_service
from tamarackway_core.steering._work import WorkTimes as WorkTimes
