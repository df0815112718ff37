"""Settings and faults of a stand-in target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Fixed properties of a target.

    :param name: name of the target.
    :param service: service that it runs.
    :param slots: requests that it runs at once.
    :param queue: requests that may wait for a slot before it sheds load.
    :param work_s: mean time of a request in seconds, exponentially distributed.
    :param cold_s: time after the start in which work takes twice as long.
    :param seed: seed of the random work times.
    :param journal: file that gets one line for each run, or an empty string.
    """

    name: str
    service: str
    slots: int
    queue: int
    work_s: float
    cold_s: float
    seed: int
    journal: str


@dataclass(frozen=True, slots=True)
class TargetFaults:
    """Faults that are in force at a target.

    :param slow_factor: multiplies all work times.
    :param straggler_share: share of requests that run many times longer.
    :param straggler_factor: how many times longer stragglers run.
    :param shed: refuse all requests without running them.
    :param leaving: tell in answers and in ``/health`` that it is leaving.
    :param crossed: answer with another request's identifier and body.
    :param truncated: break off answers in the middle.
    :param late_s: hold answers back after the work, in seconds.
    :param silent: accept requests and answer none.
    :param reported_load: load told by ``/health``, or -1 for the truth.
    :param report_lag_s: age of the load that is told, in seconds.
    """

    slow_factor: float = 1
    straggler_share: float = 0
    straggler_factor: float = 30
    shed: bool = False
    leaving: bool = False
    crossed: bool = False
    truncated: bool = False
    late_s: float = 0
    silent: bool = False
    reported_load: int = -1
    report_lag_s: float = 0
