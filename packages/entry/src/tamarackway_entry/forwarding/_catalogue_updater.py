"""Applies target records of the store to the catalogue."""

from collections.abc import Collection, Iterable

from tamarackway_core.steering import TargetRecord

from tamarackway_entry.forwarding._state import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.telemetry import component_logger

_log = component_logger('targets')


class CatalogueUpdater:
    """Keeps the catalogue in step with the store.

    :param state: configuration, targets and statistics of this instance.
    :param clock: clock of the daemon.
    """

    def __init__(self, state: SteeringState, clock: Clock) -> None:
        """Store the dependencies."""
        self._state = state
        self._clock = clock

    def replace_all(
        self,
        records: Collection[TargetRecord],
        *,
        after_outage: bool,
        is_restored: bool = False,
    ) -> None:
        """Replace the catalogue with the complete list of targets.

        :param records: all targets.
        :param after_outage: whether the store was unreachable until now.
            Removed targets then stay in use for a grace period, since
            their records may have expired during the outage.
        :param is_restored: whether the store was restored from a copy, whose
            records may be older than what is known.
        """
        known = self._state.catalogue.names
        self.update(
            records,
            known - {record.name for record in records},
            after_outage=after_outage,
            is_restored=is_restored,
        )
        self._state.mark_targets_loaded()

    def update(
        self,
        records: Iterable[TargetRecord],
        removed: Iterable[str],
        *,
        after_outage: bool,
        is_restored: bool = False,
    ) -> None:
        """Apply changed and removed targets.

        :param records: the changed targets.
        :param removed: names of targets whose records were removed.
        :param after_outage: whether the store was unreachable until now.
            Removed targets then stay in use for a grace period, since
            their records may have expired during the outage.
        :param is_restored: whether the records may stem from a copy that the
            store was restored from.
        """
        catalogue = self._state.catalogue
        now_s = self._clock.now_s()
        for record in records:
            catalogue.put(record, now_s, is_copy=is_restored)
            _log.info(
                'Target %s of service %s in %s: leaving=%s, cold for %.1f s, '
                'usable=%s.',
                record.name,
                record.service,
                record.place.failure_domain,
                record.leaving,
                record.cold_left_s,
                catalogue.is_usable(record.name),
            )
        for name in removed:
            _log.info(
                'Target %s removed from the store, after_outage=%s.',
                name,
                after_outage,
            )
            if after_outage:
                catalogue.mark_expired(name, now_s)
            else:
                catalogue.remove(name)
        self._state.target_stats.retain(catalogue.names)
        self._state.selector.rate_limiter.retain(catalogue.names)

    def replace_evacuated(
        self, domains: frozenset[str], *, is_restored: bool = False
    ) -> None:
        """Replace the failure domains that the store lists as evacuated.

        :param domains: all evacuated failure domains.
        :param is_restored: whether the store was restored from a copy.
        """
        self._state.evacuations.replace(
            domains, self._clock.now_s(), is_restored=is_restored
        )
        self._apply_evacuations()

    def change_evacuated(
        self, added: frozenset[str], removed: frozenset[str]
    ) -> None:
        """Apply changes of the evacuated failure domains.

        :param added: domains that are evacuated.
        :param removed: domains that are taken back.
        """
        self._state.evacuations.change(added, removed, self._clock.now_s())
        self._apply_evacuations()

    def remove_expired(self) -> None:
        """Remove expired targets, and adopt older records that still hold."""
        catalogue = self._state.catalogue
        now_s = self._clock.now_s()
        self._apply_evacuations()
        for name in catalogue.remove_expired(now_s):
            _log.info('Target %s expired and did not register again.', name)
        for name in catalogue.adopt_older(now_s):
            record = catalogue.find(name)
            _log.info(
                'Target %s keeps its older record: leaving=%s.',
                name,
                record is not None and record.leaving,
            )

    def _apply_evacuations(self) -> None:
        catalogue = self._state.catalogue
        now_s = self._clock.now_s()
        domains = self._state.evacuations.in_force(now_s)
        if domains == catalogue.evacuated:
            return
        _log.info('Evacuated failure domains: %s.', sorted(domains))
        catalogue.evacuate(domains, now_s, self._state.longest_cold_s())
