"""Planning sheets: parsing, validation, comparison and lookup."""

from tamarackway_core.sheet._diff import RowChange as RowChange
from tamarackway_core.sheet._diff import diff_plans as diff_plans
from tamarackway_core.sheet._model import COLUMNS as COLUMNS
from tamarackway_core.sheet._model import AcceptedPlan as AcceptedPlan
from tamarackway_core.sheet._model import Plan as Plan
from tamarackway_core.sheet._model import PlanRow as PlanRow
from tamarackway_core.sheet._model import RowKind as RowKind
from tamarackway_core.sheet._parse import digest_sheet as digest_sheet
from tamarackway_core.sheet._parse import parse_sheet as parse_sheet
from tamarackway_core.sheet._rules import PlanRules as PlanRules
from tamarackway_core.sheet._rules import RegionShare as RegionShare
from tamarackway_core.sheet._rules import ServiceRule as ServiceRule
