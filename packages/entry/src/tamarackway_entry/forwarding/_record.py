"""Logs and counts how requests ended."""

from typing import Final

from tamarackway_core.limits import TokenBucket

from tamarackway_entry.forwarding._forwarder import RequestContext
from tamarackway_entry.forwarding._model import (
    ForwardRequest,
    ForwardResponse,
    Origin,
)
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import Metrics, component_logger

_MS_PER_S: Final = 1000
_MAX_LINES_PER_S: Final = 200.0  # about 100 KB/s of log
_SERVER_ERROR: Final = 500
_NO_SERVICE: Final = '-'
_NO_ROUTE: Final = '-'
_OTHER_ROUTE: Final = 'other'
_MAX_ROUTES: Final = 64  # each adds a histogram to the metrics
_log = component_logger('request')


class RequestRecorder:
    """Writes a line for each request and counts it.

    Requests that end badly always get their line. Of the others, only so many
    a second do; the rest are counted.

    :param state: what this instance knows.
    :param metrics: metrics of the daemon.
    :param clock: clocks of the daemon.
    """

    def __init__(
        self,
        state: SteeringState,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Remember the parts."""
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._lines = TokenBucket(_MAX_LINES_PER_S, clock.now_s())
        self._routes: set[str] = set()

    def record(
        self,
        request: ForwardRequest,
        answer: ForwardResponse,
        context: RequestContext | None,
    ) -> None:
        """Record the end of a request.

        :param request: the request.
        :param answer: what its caller gets.
        :param context: what was tried, or None if nothing was.
        """
        elapsed_s = self._clock.now_s() - request.received_s
        service = context.wish.service if context else _NO_SERVICE
        outcome = str(answer.origin)
        labels = (self._label_route(context), service, outcome)
        self._metrics.latency_s.labels(*labels).observe(elapsed_s)
        if answer.origin != Origin.TARGET:
            self._metrics.refusals.labels(service, answer.reason).inc()
        configuration = self._state.configuration
        details = {
            'request_id': request.request_id,
            'route': context.route.name if context else '',
            'service': service,
            'key': context.wish.affinity_key if context else '',
            'status': answer.status,
            'outcome': outcome,
            'reason': answer.reason,
            'elapsed_ms': round(elapsed_s * _MS_PER_S, 1),
            'configuration': configuration.version if configuration else 0,
            'trail': context.trail if context else (),
        }
        ended_badly = (
            answer.origin != Origin.TARGET or answer.status >= _SERVER_ERROR
        )
        if ended_badly:
            _log.warning('Request ended.', extra=details)
        elif self._lines.take(self._clock.now_s()):
            _log.info('Request ended.', extra=details)
        else:
            self._metrics.suppressed_lines.inc()

    def _label_route(self, context: RequestContext | None) -> str:
        """Return the label of a route; those beyond the limit share one."""
        if context is None:
            return _NO_ROUTE
        name = context.route.name
        if name not in self._routes:
            if len(self._routes) >= _MAX_ROUTES:
                return _OTHER_ROUTE
            self._routes.add(name)
        return name
