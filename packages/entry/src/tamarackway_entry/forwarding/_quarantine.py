"""Quarantine of requests that crash targets, as requests are forwarded."""

import hashlib
from typing import Final

from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import Candidate

from tamarackway_entry.forwarding._context import RequestContext
from tamarackway_entry.forwarding._model import ForwardRequest
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger

_FINGERPRINT_BYTES: Final = 16
_log = component_logger('targets')


class RequestQuarantine:
    """Applies the quarantine of an instance to single requests.

    :param state: provides the quarantine and the position in the fleet.
    :param clock: clock of the daemon.
    """

    def __init__(self, state: SteeringState, clock: Clock) -> None:
        """Store the dependencies."""
        self._state = state
        self._clock = clock

    def admits(self, request: ForwardRequest) -> bool:
        """Return whether a request may be run; it may be a retest.

        :param request: the request.
        """
        if not self.includes(request):
            return True
        fingerprint = _fingerprint(request)
        selector = self._state.selector
        is_retest = self._state.quarantine.take_retest(
            fingerprint,
            self._clock.now_s(),
            selector.position,
            selector.instances,
        )
        if is_retest:
            _log.info(
                'Request %s is quarantined as %s, and tried once.',
                request.request_id,
                fingerprint,
            )
        return is_retest

    def includes(self, request: ForwardRequest) -> bool:
        """Return whether a request is quarantined.

        :param request: the request.
        """
        return self._state.quarantine.is_quarantined(
            _fingerprint(request), self._clock.now_s()
        )

    def permits_retry(self, context: RequestContext) -> bool:
        """Return whether a request that was admitted may be sent again.

        :param context: state of the request.
        """
        if context.is_retest:
            return not context.may_have_run
        return not self.includes(context.request)

    def record_completion(self, request: ForwardRequest) -> None:
        """Record that a target has completed a request.

        :param request: the request.
        """
        self._state.quarantine.record_completion(
            _fingerprint(request), self._clock.now_s()
        )


def describe_loss(request: ForwardRequest, candidate: Candidate) -> Loss:
    """Return the loss to report if a target crashed on a request.

    :param request: the request.
    :param candidate: the target.
    """
    return Loss(
        _fingerprint(request),
        candidate.record.name,
        candidate.record.incarnation,
    )


def _fingerprint(request: ForwardRequest) -> str:
    """Return a digest that is equal for repetitions of a request."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    digest.update(f'{request.method} {request.host} '.encode())
    digest.update(request.path_and_query)
    digest.update(request.affinity_key.encode())
    digest.update(request.body)
    return digest.hexdigest()
