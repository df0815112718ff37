"""Fetches the configuration in force from a peer."""

from typing import Protocol

from anyio.abc import TaskGroup
from tamarackway_core.wire import ConfigurationReply, ConfigurationRequest

from tamarackway_entry.fleet._pace import REPLY_TIMEOUT_S
from tamarackway_entry.links import PeerLink, PeerUnreachableError
from tamarackway_entry.telemetry import component_logger

_log = component_logger('fleet')


class ConfigurationReceiver(Protocol):
    """Applies the configuration of a peer."""

    def apply_configuration(self, reply: ConfigurationReply) -> None:
        """Apply the configuration of a peer, if it is newer."""


class ConfigurationFetcher:
    """Fetches the configuration of one peer at a time.

    :param receiver: applies it.
    """

    def __init__(self, receiver: ConfigurationReceiver) -> None:
        """Start without a request."""
        self._receiver = receiver
        self._is_requesting = False

    def start(self, group: TaskGroup, link: PeerLink) -> None:
        """Fetch the configuration of a peer, unless a request is under way.

        :param group: runs the request.
        :param link: connection to the peer.
        """
        if not self._is_requesting:
            self._is_requesting = True
            group.start_soon(self._fetch, link)

    async def _fetch(self, link: PeerLink) -> None:
        _log.info('Requesting the configuration of %s.', link.address)
        try:
            reply = await link.request(ConfigurationRequest(), REPLY_TIMEOUT_S)
        except PeerUnreachableError as error:
            _log.info('No configuration from %s: %s.', link.address, error)
            return
        finally:
            self._is_requesting = False
        if isinstance(reply, ConfigurationReply):
            self._receiver.apply_configuration(reply)
