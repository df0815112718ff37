"""Validation of settings beyond their types."""

import logging
import re
from collections.abc import Iterator
from typing import Final

from tamarackway_core.errors import SettingsError
from tamarackway_core.places import parse_address

from tamarackway_entry.settings._model import Settings

_MIN_KEY_LENGTH: Final = 32
_SHA256: Final = re.compile(r'[0-9a-f]{64}')
_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9-]{0,62}')


def find_faults(settings: Settings) -> Iterator[str]:
    """Yield the faults of settings that have the right types."""
    yield from _find_address_faults(settings)
    yield from _find_secret_faults(settings)
    yield from _find_range_faults(settings)
    if not _NAME.fullmatch(settings.instance.name):
        yield '[instance] name must be letters, digits and hyphens'
    if settings.telemetry.log_level not in logging.getLevelNamesMapping():
        yield '[telemetry] log_level must be DEBUG, INFO, WARNING or ERROR'


def _find_address_faults(settings: Settings) -> Iterator[str]:
    instance = settings.instance
    addresses = {
        '[instance] callers': instance.callers,
        '[instance] peers': instance.peers,
        '[instance] admin': instance.admin,
        '[instance] outgoing_host': f'{instance.outgoing_host}:1',
        '[platform] table': settings.platform.table,
        '[platform] objects': settings.platform.objects,
        '[platform] instances': settings.platform.instances,
    }
    optional = {
        '[instance] advertised_callers': instance.advertised_callers,
        '[instance] advertised_peers': instance.advertised_peers,
        '[telemetry] otlp': settings.telemetry.otlp,
    }
    addresses.update({name: text for name, text in optional.items() if text})
    for index, seed in enumerate(settings.peers.seeds):
        addresses[f'[peers] seeds, number {index + 1}'] = seed
    for name, address in addresses.items():
        yield from _find_address_fault(name, address)
    listening = {instance.callers, instance.peers, instance.admin}
    if len(listening) < len(('callers', 'peers', 'admin')):
        yield '[instance] callers, peers and admin must be different addresses'


def _find_address_fault(name: str, address: str) -> Iterator[str]:
    try:
        parse_address(address)
    except SettingsError as error:
        yield f'{name}: {error}'


def _find_secret_faults(settings: Settings) -> Iterator[str]:
    if not settings.peers.keys:
        yield '[peers] keys must hold at least one key'
    if any(len(key) < _MIN_KEY_LENGTH for key in settings.peers.keys):
        yield f'[peers] keys must have {_MIN_KEY_LENGTH} or more characters'
    for operator in settings.admin.operators:
        if not _SHA256.fullmatch(operator.token_sha256):
            yield (
                f'[admin] token_sha256 of {operator.name!r} must be 64 '
                'hexadecimal digits, as tamarackd hash-token prints them'
            )


def _find_range_faults(settings: Settings) -> Iterator[str]:
    positive = {
        '[instance] max_instances': settings.instance.max_instances,
        '[platform] timeout_s': settings.platform.timeout_s,
        '[peers] heartbeat_s': settings.peers.heartbeat_s,
        '[callers] max_body_bytes': settings.callers.max_body_bytes,
        '[callers] max_answer_bytes': settings.callers.max_answer_bytes,
        '[callers] advice_lifetime_s': settings.callers.advice_lifetime_s,
        '[callers] max_waiting': settings.callers.max_waiting,
        '[callers] max_connections': settings.callers.max_connections,
        '[telemetry] max_decisions': settings.telemetry.max_decisions,
    }
    for name, number in positive.items():
        if number <= 0:
            yield f'{name} must be more than 0'
    shares = {
        '[routing] extra_share': settings.routing.extra_share,
        '[routing] hedge_quantile': settings.routing.hedge_quantile,
        '[telemetry] trace_share': settings.telemetry.trace_share,
    }
    for name, share in shares.items():
        if not 0 <= share <= 1:
            yield f'{name} must be from 0 to 1'
