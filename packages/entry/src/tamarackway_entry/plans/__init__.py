"""The plan in force: acceptance, distribution and recovery."""

from tamarackway_entry.plans._current import CurrentPlan as CurrentPlan
from tamarackway_entry.plans._service import PlanService as PlanService
from tamarackway_entry.plans._submit import PlanInDoubtError as PlanInDoubtError
from tamarackway_entry.plans._submit import PlanSubmitter as PlanSubmitter
