"""Fetches from peers what their heartbeats tell to be missing."""

from typing import Protocol

from anyio.abc import TaskGroup
from tamarackway_core.wire import FleetBeat

from tamarackway_entry.fleet._configuration import (
    ConfigurationFetcher,
    ConfigurationReceiver,
)
from tamarackway_entry.fleet._losses import LossFetcher, LossReceiver
from tamarackway_entry.kernel import Clock
from tamarackway_entry.links import PeerLink


class StateReceiver(ConfigurationReceiver, LossReceiver, Protocol):
    """Compares the state of a peer with the own one, and adds to it."""

    def lacks_configuration(self, heartbeat: FleetBeat) -> bool:
        """Return whether only the peer can tell a newer configuration."""

    def lacks_losses(self, heartbeat: FleetBeat) -> bool:
        """Return whether a peer knows other losses than this instance."""


class StateFetcher:
    """Fetches the configuration and the losses that a peer knows.

    :param receiver: compares and adds them.
    :param clock: clocks of the daemon.
    """

    def __init__(self, receiver: StateReceiver, clock: Clock) -> None:
        """Start without requests."""
        self._receiver = receiver
        self._configuration = ConfigurationFetcher(receiver)
        self._losses = LossFetcher(receiver, clock)

    def start(
        self, group: TaskGroup, link: PeerLink, heartbeat: FleetBeat
    ) -> None:
        """Fetch what is missing, unless a request is under way.

        :param group: runs the requests.
        :param link: connection to the peer.
        :param heartbeat: heartbeat of the peer.
        """
        if self._receiver.lacks_configuration(heartbeat):
            self._configuration.start(group, link)
        if self._receiver.lacks_losses(heartbeat):
            self._losses.start(group, link, heartbeat.loss_digest)
