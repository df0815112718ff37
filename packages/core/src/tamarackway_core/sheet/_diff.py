"""Comparison of two plans by row label."""

from dataclasses import dataclass

from tamarackway_core.sheet._model import Plan, PlanRow


@dataclass(frozen=True, slots=True)
class RowChange:
    """Difference between two plans in one row.

    :param row: label of the row.
    :param before: the row in the older plan, or None if it is new.
    :param after: the row in the newer plan, or None if it was removed.
    """

    row: str
    before: PlanRow | None
    after: PlanRow | None


def diff_plans(before: Plan, after: Plan) -> tuple[RowChange, ...]:
    """Return the rows that differ, removed and changed rows first.

    :param before: the older plan.
    :param after: the newer plan.
    """
    old = {row.row: row for row in before.rows}
    new = {row.row: row for row in after.rows}
    changed = [
        RowChange(label, row, new.get(label))
        for label, row in old.items()
        if new.get(label) != row
    ]
    added = [
        RowChange(label, None, row)
        for label, row in new.items()
        if label not in old
    ]
    return tuple(changed + added)
