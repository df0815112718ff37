"""Data classes for entry instances, targets and their locations."""

import enum
import ipaddress
from dataclasses import dataclass
from typing import Final

from tamarackway_core.errors import SettingsError
from tamarackway_core.numbers import parse_integer

_MAX_PORT: Final = 65535
_MAX_QUOTED: Final = 64


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
    bracketed, _, port_text = text.rpartition(':')
    host = bracketed.strip('[]')
    quoted = repr(text[:_MAX_QUOTED])
    if not _is_ip(host):
        raise SettingsError(
            f'address {quoted} does not start with an IP number',
            'write it as 127.0.0.1:8080',
        )
    port = parse_integer(port_text, maximum=_MAX_PORT)
    if not port:
        raise SettingsError(
            f'address {quoted} has no port from 1 to {_MAX_PORT}',
            'write it as 127.0.0.1:8080',
        )
    return Address(host, port)


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    # The module does not check zones of IPv6 addresses, so that any text
    # could follow the percent sign.
    return '%' not in text


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
