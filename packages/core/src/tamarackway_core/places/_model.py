"""Data classes for entry instances, targets and their locations."""

import enum
import ipaddress
from dataclasses import dataclass
from typing import Final

from tamarackway_core.errors import SettingsError

_MAX_PORT: Final = 65535


class State(enum.StrEnum):
    """Life-cycle state of an instance or target."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port.

    :param host: IPv4 or IPv6 address.
    :param port: TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``.

    :param text: an IP address, a colon and a port.
    :raises SettingsError: if the text is not an IP address with a port.

    >>> parse_address('127.0.0.1:80')
    Address(host='127.0.0.1', port=80)
    """
    host, _, port_text = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise SettingsError(
            f'address {text!r} does not start with an IP number',
            'write it as 127.0.0.1:8080',
        ) from error
    if not port_text.isdigit() or not 0 < int(port_text) <= _MAX_PORT:
        raise SettingsError(
            f'address {text!r} has no port from 1 to {_MAX_PORT}',
            'write it as 127.0.0.1:8080',
        )
    return Address(host.strip('[]'), int(port_text))


@dataclass(frozen=True, slots=True)
class Place:
    """A failure domain within a region."""

    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Instance:
    """One entry instance.

    :param name: unique name of the instance.
    :param place: region and failure domain of the instance.
    :param callers: address for callers.
    :param peers: address for other entry instances.
    :param admin: address for operators.
    """

    name: str
    place: Place
    callers: str
    peers: str
    admin: str


@dataclass(frozen=True, slots=True)
class Target:
    """One target, as described by the instance list.

    :param name: unique name of the target.
    :param service: service that the target runs.
    :param place: region and failure domain of the target.
    :param address: address for requests.
    :param slots: number of requests that the target runs concurrently.
    :param state: life-cycle state according to the list.
    :param incarnation: increases with each restart of the target.
    """

    name: str
    service: str
    place: Place
    address: str
    slots: int
    state: State = State.LIVE
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Inventory:
    """Entry instances and targets in the instance list as last read."""

    instances: tuple[Instance, ...] = ()
    targets: tuple[Target, ...] = ()
