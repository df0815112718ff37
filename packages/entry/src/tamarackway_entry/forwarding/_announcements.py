"""Records what targets say in their responses about further requests."""

from tamarackway_core.steering import TargetRecord

from tamarackway_entry.forwarding._codec import ResponseMetadata
from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger

_log = component_logger('targets')


class AnnouncementRecorder:
    """Records rate limits, pauses and departures that targets announce.

    :param state: configuration, targets and statistics of this instance.
    :param clock: clock of the daemon.
    """

    def __init__(self, state: SteeringState, clock: Clock) -> None:
        """Store the dependencies."""
        self._state = state
        self._clock = clock

    def record(
        self,
        record: TargetRecord,
        metadata: ResponseMetadata,
        sent_s: float,
    ) -> None:
        """Record what a target says in a response.

        :param record: the target.
        :param metadata: metadata of the response.
        :param sent_s: monotonic time at which the request was sent.
        """
        self._record_rate_limit(record, metadata.total_per_s)
        self._record_pause(record, metadata.pause_s, sent_s)
        if metadata.is_leaving:
            self._record_departure(record)

    def _record_rate_limit(
        self, record: TargetRecord, total_per_s: float | None
    ) -> None:
        if total_per_s is None:
            return
        rate_limiter = self._state.selector.rate_limiter
        now_s = self._clock.now_s()
        if rate_limiter.observe(
            record.name, record.incarnation, total_per_s, now_s
        ):
            _log.info(
                'Target %s of service %s accepts %.3g requests per second '
                'from all instances.',
                record.name,
                record.service,
                total_per_s,
            )

    def _record_pause(
        self, record: TargetRecord, pause_s: float | None, sent_s: float
    ) -> None:
        pauses = self._state.selector.pauses
        target = (record.name, record.incarnation)
        if pause_s is None:
            pauses.record_answer(*target, sent_s)
        elif pauses.observe(*target, pause_s, self._clock.now_s()):
            _log.info(
                'Target %s of service %s wants no requests from this instance '
                'for %.3g s.',
                record.name,
                record.service,
                pause_s,
            )

    def _record_departure(self, record: TargetRecord) -> None:
        if self._state.catalogue.mark_leaving(
            record.name,
            record.incarnation,
            self._clock.now_s(),
            from_peer=False,
        ):
            _log.info(
                'Target %s of service %s says in a response that it is '
                'leaving.',
                record.name,
                record.service,
            )
