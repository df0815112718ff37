"""Logs and counts ended requests."""

from typing import Final

from tamarackway_core.limits import TokenBucket

from tamarackway_entry.forwarding._context import RequestContext
from tamarackway_entry.forwarding._model import (
    ForwardRequest,
    ForwardResponse,
    Origin,
)
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import Metrics, component_logger

_MS_PER_S: Final = 1000
_MAX_LINES_PER_S: Final = 200.0  # about 100 KB/s of log output
_SERVER_ERROR: Final = 500
_NO_SERVICE: Final = '-'
_NO_ROUTE: Final = '-'
_OTHER_ROUTE: Final = 'other'
_MAX_ROUTES: Final = 64  # each route label adds a histogram to the metrics
OVERLOAD: Final = 'the instance is behind'
_log = component_logger('request')


class RequestRecorder:
    """Logs and counts each ended request.

    Refused requests and requests with a server error are always logged. Log
    lines of other requests are rate-limited; suppressed lines are counted.

    :param state: configuration, targets and statistics of this instance.
    :param metrics: metrics of the daemon.
    :param clock: clock of the daemon.
    """

    def __init__(
        self,
        state: SteeringState,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Store the dependencies."""
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._line_limiter = TokenBucket(_MAX_LINES_PER_S, clock.now_s())
        self._routes: set[str] = set()
        self._overloads = metrics.refusals.labels(_NO_SERVICE, OVERLOAD)

    def record(
        self,
        request: ForwardRequest,
        response: ForwardResponse,
        context: RequestContext | None,
    ) -> None:
        """Record an ended request.

        :param request: the request.
        :param response: response to the caller.
        :param context: state of the request, or None if it ended before a
            service was selected.
        """
        elapsed_s = self._clock.now_s() - request.received_s
        service = context.query.service if context else _NO_SERVICE
        outcome = str(response.origin)
        labels = (self._label_route(context), service, outcome)
        self._metrics.latency_s.labels(*labels).observe(elapsed_s)
        if response.origin != Origin.TARGET:
            self._metrics.refusals.labels(service, response.reason).inc()
        if context is not None and context.tried_peers:
            self._metrics.attempts.labels(service, 'detour').inc()
        if context is not None and context.caller.late_sends:
            self._metrics.load.late_sends.labels(service).inc(
                context.caller.late_sends
            )
        configuration = self._state.configuration
        details = {
            'request_id': request.request_id,
            'route': context.route.name if context else '',
            'service': service,
            'key': context.query.affinity_key if context else '',
            'status': response.status,
            'outcome': outcome,
            'reason': response.reason,
            'elapsed_ms': round(elapsed_s * _MS_PER_S, 1),
            'configuration': configuration.version if configuration else 0,
            'is_detour': request.is_detour,
            'trail': context.trail if context else (),
        }
        has_failed = (
            response.origin != Origin.TARGET or response.status >= _SERVER_ERROR
        )
        if has_failed:
            _log.warning('Request ended.', extra=details)
        elif self._line_limiter.take(self._clock.now_s()):
            _log.info('Request ended.', extra=details)
        else:
            self._metrics.load.suppressed_lines.inc()

    def record_overload(self, request_id: str) -> None:
        """Record a request that was refused unread, for lack of time.

        :param request_id: identifier of the request.
        """
        self._overloads.inc()
        if self._line_limiter.take(self._clock.now_s()):
            _log.warning(
                'Request refused.',
                extra={'request_id': request_id, 'reason': OVERLOAD},
            )
        else:
            self._metrics.load.suppressed_lines.inc()

    def record_departure(self) -> None:
        """Record a request whose caller left before it was started."""
        self._metrics.load.departures.inc()

    def record_backlog(self, waiting: int, *, is_behind: bool) -> None:
        """Record that a standing backlog of requests has built up or is gone.

        :param waiting: requests that wait to be started.
        :param is_behind: whether there is a standing backlog.
        """
        self._metrics.load.is_behind.set(is_behind)
        _log.warning(
            'Standing backlog of requests.',
            extra={'is_behind': is_behind, 'waiting': waiting},
        )

    def _label_route(self, context: RequestContext | None) -> str:
        """Return the metric label of a route.

        Routes beyond the limit share one label, which bounds the number of
        time series.
        """
        if context is None:
            return _NO_ROUTE
        name = context.route.name
        if name not in self._routes:
            if len(self._routes) >= _MAX_ROUTES:
                return _OTHER_ROUTE
            self._routes.add(name)
        return name
