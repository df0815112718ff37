"""Takes descriptions of targets into the catalogue."""

from collections.abc import Collection, Iterable

from tamarackway_core.steering import TargetRecord

from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger

_log = component_logger('targets')


class CatalogueUpdater:
    """Keeps the catalogue as the store describes it.

    :param state: what this instance knows.
    :param clock: clocks of the daemon.
    """

    def __init__(self, state: SteeringState, clock: Clock) -> None:
        """Remember the parts."""
        self._state = state
        self._clock = clock

    def replace_all(
        self,
        records: Collection[TargetRecord],
        *,
        after_outage: bool,
    ) -> None:
        """Take all targets that exist.

        :param records: the targets.
        :param after_outage: whether the store was away until now.
        """
        known = self._state.catalogue.names
        self.update(
            records,
            known - {record.name for record in records},
            after_outage=after_outage,
        )
        self._state.load_targets()

    def update(
        self,
        records: Iterable[TargetRecord],
        gone: Iterable[str],
        *,
        after_outage: bool,
    ) -> None:
        """Take targets that changed, and names of targets that are gone.

        :param records: the changed targets.
        :param gone: targets whose entries were removed.
        :param after_outage: whether the store was away until now.
        """
        catalogue = self._state.catalogue
        now_s = self._clock.now_s()
        for record in records:
            catalogue.put(record, now_s)
            _log.info(
                'Target %s of %s in %s: leaving=%s cold=%.1f s.',
                record.name,
                record.service,
                record.place.failure_domain,
                record.leaving,
                record.cold_left_s,
            )
        for name in gone:
            _log.info('Target %s is gone, lapsed=%s.', name, after_outage)
            if after_outage:
                catalogue.mark_expired(name, now_s)
            else:
                catalogue.remove(name)
        self._state.observations.retain(catalogue.names)

    def evacuate(self, domains: frozenset[str]) -> None:
        """Take the failure domains whose targets get nothing.

        :param domains: all evacuated failure domains.
        """
        catalogue = self._state.catalogue
        if domains == catalogue.evacuated:
            return
        _log.info('Evacuated failure domains: %s.', sorted(domains))
        catalogue.evacuate(
            domains,
            self._clock.now_s(),
            self._state.longest_cold_s(),
        )

    def remove_lapsed(self) -> None:
        """Forget targets that lapsed and did not come back."""
        for name in self._state.catalogue.remove_expired(self._clock.now_s()):
            _log.info('Target %s did not come back.', name)
