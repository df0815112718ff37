"""Index of the rows of a plan for lookups on each request."""

from collections import defaultdict
from dataclasses import dataclass
from typing import Final

from tamarackway_core.sheet._model import Plan, PlanRow, RowKind

_MS_PER_S: Final = 1000
_PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class RegionShare:
    """Share of the requests of a service that a region serves.

    :param region: name of the region.
    :param share: from 0 to 1, relative to the other regions.
    :param row: sheet row that defines the share.
    """

    region: str
    share: float
    row: PlanRow


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Rule of a sheet for one service.

    :param service: name of the service.
    :param once: whether requests run at most once.
    :param deadline_s: maximum duration of a request in seconds.
    :param shares: regions that serve the service, with their shares.
    :param row: sheet row that declares the service.
    """

    service: str
    once: bool
    deadline_s: float
    shares: tuple[RegionShare, ...]
    row: PlanRow


class PlanRules:
    """Read-only index of a plan.

    :param plan: the plan to index.

    Lookups take constant time; building the index takes linear time in the
    number of rows.
    """

    def __init__(self, plan: Plan) -> None:
        """Index the rows by kind and subject."""
        self.plan = plan
        shares: defaultdict[str, list[RegionShare]] = defaultdict(list)
        for row in plan.rows:
            if row.kind == RowKind.SERVE and row.amount > 0:
                share = RegionShare(row.region, row.amount / _PERCENT, row)
                shares[row.service].append(share)
        self._services = {
            row.service: ServiceRule(
                row.service,
                row.kind == RowKind.ONCE,
                row.amount / _MS_PER_S,
                tuple(shares[row.service]),
                row,
            )
            for row in plan.rows
            if row.kind in {RowKind.LOOKUP, RowKind.ONCE}
        }
        self._leaving = self._index_by_kind(RowKind.LEAVE, 'target')
        self._moves = self._index_by_kind(RowKind.MOVE, 'service')
        self._capacities = {
            (row.region, row.service): row
            for row in plan.rows
            if row.kind == RowKind.CAPACITY
        }

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the declared services."""
        return tuple(self._services)

    def find_service(self, service: str) -> ServiceRule | None:
        """Return the rule of a service, or None if it is not declared."""
        return self._services.get(service)

    def find_leaving(self, target: str) -> PlanRow | None:
        """Return the leave row of a target, or None."""
        return self._leaving.get(target)

    def find_move(self, service: str) -> PlanRow | None:
        """Return the move row of a service, or None."""
        return self._moves.get(service)

    def list_capacities(self, region: str, service: str) -> list[PlanRow]:
        """Return the capacity rows that apply to a service in a region."""
        subjects = ((region, ''), (region, service))
        return [
            self._capacities[subject]
            for subject in subjects
            if subject in self._capacities
        ]

    def _index_by_kind(self, kind: RowKind, column: str) -> dict[str, PlanRow]:
        return {
            getattr(row, column): row
            for row in self.plan.rows
            if row.kind == kind
        }
