"""State that this instance exchanges with its peers."""

import dataclasses
from collections.abc import Callable, Sequence

from tamarackway_core.wire import (
    ConfigurationReply,
    FleetBeat,
    FleetMember,
    LossesReply,
    RowsRelay,
)

from tamarackway_entry.fleet import select_instances
from tamarackway_entry.following import FollowService
from tamarackway_entry.forwarding import SteeringState
from tamarackway_entry.kernel import Clock
from tamarackway_entry.lifecycle import Lifecycle


class EntryInstance:
    """Builds heartbeats of this instance and applies those of its peers.

    :param own: member record of this instance, not ready yet.
    :param state: routing state of this instance.
    :param follow: replicates the tables of the store.
    :param lifecycle: state of the instance.
    :param clock: clocks of the daemon.

    The owner replaces the callback ``apply_peer_configuration``. It takes the
    encoded configuration of a peer and the history in which it was written.
    """

    def __init__(
        self,
        own: FleetMember,
        state: SteeringState,
        follow: FollowService,
        lifecycle: Lifecycle,
        clock: Clock,
    ) -> None:
        """Start with an unknown fleet size."""
        self.apply_peer_configuration: Callable[[bytes, int], None] = (
            lambda _content, _written_in: None
        )
        state.selector.instances = 0
        self._own = own
        self._state = state
        self._follow = follow
        self._lifecycle = lifecycle
        self._clock = clock

    @property
    def is_ready(self) -> bool:
        """Whether this instance may receive callers."""
        is_configured = (
            self._follow.is_loaded and self._state.configuration is not None
        )
        return is_configured and not self._lifecycle.is_leaving

    def build_heartbeat(self) -> FleetBeat:
        """Return a heartbeat with the current state."""
        now_s = self._clock.now_s()
        configuration = self._state.configuration
        return FleetBeat(
            name=self._own.name,
            member=self._build_member(),
            positions=self._follow.last_changes(),
            ages_s=self._follow.ages_s(),
            store_answers=self._follow.store_answers,
            rates=self._state.demand.local_rates(now_s),
            losses=self._state.quarantine.list_recent(now_s),
            known_from=self._follow.known_from(),
            rate_limits=self._state.selector.rate_limiter.list_own(now_s),
            leaving_targets=self._state.catalogue.departures.list_recent(now_s),
            histories=self._follow.histories(),
            outdated_targets=self._state.catalogue.outdated.list_recent(now_s),
            held_evacuations_s=self._state.evacuations.held_s(now_s),
            unreachable_services=self._state.reachability.list_cut_off(),
            configuration=configuration.version if configuration else 0,
            configuration_written_in=self._state.configurations.written_in,
            loss_changes=self._state.quarantine.list_recent_changes(now_s),
            loss_digest=self._state.quarantine.digest(now_s),
        )

    def handle_heartbeat(
        self,
        heartbeat: FleetBeat,
        member: FleetMember,
    ) -> None:
        """Apply the progress, rates, losses and news of targets of a peer."""
        for table, last_change in heartbeat.positions.items():
            age_s = heartbeat.ages_s.get(table)
            if age_s is not None:
                self._follow.update_from_peer(
                    table,
                    last_change,
                    heartbeat.known_from.get(table, 0),
                    age_s,
                    heartbeat.histories.get(table, 0),
                )
        self._state.demand.update_peer(
            member.name,
            member.region,
            heartbeat.rates,
        )
        self._state.reachability.update_peer(
            member.name, frozenset(heartbeat.unreachable_services)
        )
        now_s = self._clock.now_s()
        self._merge_losses(heartbeat, now_s)
        for limit in heartbeat.rate_limits:
            self._state.selector.rate_limiter.update_from_peer(limit, now_s)
        self._state.evacuations.hold_for_peer(
            heartbeat.held_evacuations_s, now_s
        )
        for outdated in heartbeat.outdated_targets:
            self._state.mark_outdated(outdated, now_s)
        for target in heartbeat.leaving_targets:
            self._state.catalogue.mark_leaving(
                target.name, target.incarnation, now_s, from_peer=True
            )

    def lacks_configuration(self, heartbeat: FleetBeat) -> bool:
        """Return whether only the peer can tell a newer configuration.

        A restored store may hold an older one, until the operator writes again.
        """
        return self._state.configurations.is_behind(
            heartbeat.configuration, heartbeat.configuration_written_in
        ) and self._follow.covers(heartbeat.positions, heartbeat.histories)

    def build_configuration_reply(self) -> ConfigurationReply:
        """Return the configuration in force."""
        return ConfigurationReply(
            self._state.configuration_content,
            self._state.configurations.written_in,
        )

    def apply_configuration(self, reply: ConfigurationReply) -> None:
        """Apply the configuration of a peer, if it is newer."""
        if reply.content:
            self.apply_peer_configuration(reply.content, reply.written_in)

    def lacks_losses(self, heartbeat: FleetBeat) -> bool:
        """Return whether a peer knows other losses than this instance."""
        known = self._state.quarantine.digest(self._clock.now_s())
        return heartbeat.loss_digest not in {'', known}

    def build_losses_reply(self) -> LossesReply:
        """Return the losses that this instance knows."""
        now_s = self._clock.now_s()
        return LossesReply(self._state.quarantine.list_known(now_s))

    def apply_losses(self, reply: LossesReply) -> None:
        """Add the losses that a peer knows."""
        self._state.quarantine.merge(reply.losses, self._clock.now_s())

    def apply_relay(self, relay: RowsRelay) -> None:
        """Apply changed rows that a peer relays."""
        self._follow.apply_relay(relay)

    def handle_peer_failure(self, name: str) -> None:
        """Discard the state of a failed peer."""
        self._state.demand.remove_peer(name)
        self._state.reachability.remove_peer(name)

    def update_fleet_size(self, peers: Sequence[FleetMember]) -> None:
        """Update the size of the fleet, by which shared budgets are divided.

        :param peers: the other instances that may be running.
        """
        names = sorted([self._own.name, *(peer.name for peer in peers)])
        self._state.selector.instances = len(names)
        self._state.selector.position = names.index(self._own.name)
        self._state.selector.rate_limiter.divide_among(self._own.name, names)

    def list_entries(
        self,
        peers: Sequence[FleetMember],
        region: str,
        limit: int,
    ) -> Sequence[FleetMember]:
        """Return the instances that a caller should use.

        :param peers: the other live instances.
        :param region: region of the caller.
        :param limit: maximum number of instances to return.
        """
        return select_instances([*peers, self._build_member()], region, limit)

    def _merge_losses(self, heartbeat: FleetBeat, now_s: float) -> None:
        self._state.quarantine.merge(heartbeat.loss_changes, now_s)
        if not heartbeat.loss_digest:
            # An earlier release does not tell the age of a loss.
            for loss in heartbeat.losses:
                self._state.quarantine.report(loss, now_s)

    def _build_member(self) -> FleetMember:
        return dataclasses.replace(
            self._own,
            ready=self.is_ready,
            leaving=self._lifecycle.is_leaving,
            isolated=self._state.reachability.is_isolated(),
        )
