"""Settings and faults of the fake target."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetSettings:
    """Fixed properties of a target.

    :param name: name of the target.
    :param service: service that it runs.
    :param slots: number of requests that run concurrently.
    :param queue: maximum number of requests that wait for a slot; further
        requests are shed.
    :param work_s: mean of the exponentially distributed service time, in
        seconds.
    :param cold_s: period after the start, in seconds, in which service times
        double.
    :param seed: seed of the random service times.
    :param journal: file to which one line is appended for each executed
        request, or an empty string for none.
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
    """Active faults of a target.

    :param slow_factor: factor on all service times.
    :param straggler_share: fraction of requests that are stragglers.
    :param straggler_factor: factor on the service times of stragglers.
    :param shed: shed all requests without running them.
    :param leaving: report the state ``leaving`` in responses and
        ``/health``.
    :param crossed: respond with another request's identifier, in the header
        and in the body.
    :param truncated: send only the first half of the response body.
    :param late_s: delay of the response after the work, in seconds.
    :param silent: execute requests but never respond.
    :param reported_load: load reported by ``/health``, or -1 for the actual
        load.
    :param report_lag_s: age of the reported load, in seconds.
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
