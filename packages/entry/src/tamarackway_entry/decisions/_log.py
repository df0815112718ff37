"""Log of the routing decisions on recent requests."""

import datetime as dt
from collections import OrderedDict
from dataclasses import dataclass, field

from tamarackway_core.sheet import PlanRow

_MAX_STEPS = 64
_MS_PER_S = 1000


@dataclass(slots=True)
class Decision:
    """Record of the decisions on one request while it is served.

    :param request_id: identifier of the request.
    :param service: service of the request.
    :param caller_region: region of the caller.
    :param plan_version: version of the plan in force when it was received.
    :param time_s: Unix time of its receipt in seconds.
    :param received_s: monotonic time of its receipt in seconds.
    """

    request_id: str
    service: str
    caller_region: str
    plan_version: int
    time_s: float
    received_s: float
    steps: list[tuple[float, str]] = field(default_factory=list)
    rows: list[PlanRow] = field(default_factory=list)

    def add_step(self, now_s: float, text: str) -> None:
        """Add a step.

        :param now_s: monotonic time in seconds.
        :param text: the decision, in words for non-technical readers.
        """
        if len(self.steps) < _MAX_STEPS:
            self.steps.append((now_s - self.received_s, text))

    def add_row(self, row: PlanRow) -> None:
        """Add a sheet row that the decision is based on."""
        if row not in self.rows:
            self.rows.append(row)

    def describe(self) -> tuple[str, ...]:
        """Return the decision as lines of text."""
        moment = dt.datetime.fromtimestamp(self.time_s, dt.UTC)
        stamp = moment.isoformat(timespec='milliseconds')
        received = f'received {stamp} from region {self.caller_region}'
        lines = [
            f'request {self.request_id} for {self.service}',
            f'{received}, under plan version {self.plan_version}',
        ]
        lines.extend(
            f'after {offset_s * _MS_PER_S:.1f} ms: {text}'
            for offset_s, text in self.steps
        )
        lines.append('sheet rows behind this:')
        lines.extend(f'  {row.describe()}' for row in self.rows)
        return tuple(lines)


class DecisionLog:
    """Bounded log of the decisions on the most recent requests.

    :param max_decisions: maximum number of decisions kept.
    """

    def __init__(self, max_decisions: int) -> None:
        """Start without decisions."""
        self._max_decisions = max_decisions
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Add a decision and drop the oldest ones beyond the limit."""
        self._decisions[decision.request_id] = decision
        while len(self._decisions) > self._max_decisions:
            self._decisions.popitem(last=False)

    def find(self, request_id: str) -> Decision | None:
        """Return the decision on a request, or None."""
        return self._decisions.get(request_id)
