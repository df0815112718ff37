"""Loads the settings file and reports all its faults in one error."""

import dataclasses
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, get_type_hints

import msgspec
from tamarackway_core.errors import SettingsError

from tamarackway_entry.settings._checks import find_faults
from tamarackway_entry.settings._model import Settings

_REMEDY: Final = 'see docs/OPERATING.md for the settings'
_Document = dict[str, Any]


def load_settings(path: Path) -> Settings:
    """Load settings from a file.

    :param path: TOML file.
    :raises SettingsError: with every fault of the file, if it has any.
    """
    return parse_settings(read_file(path))


def read_file(path: Path) -> str:
    """Read the text of a settings file in any format.

    :param path: the file, in UTF-8.
    :raises SettingsError: if it cannot be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'cannot read {path}: {error}',
            'give the path of a readable UTF-8 file',
        ) from error


def parse_settings(text: str) -> Settings:
    """Parse settings from TOML text.

    :param text: TOML document.
    :raises SettingsError: with every fault of the text, if it has any.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f'not TOML: {error}', _REMEDY) from error
    faults = [*_find_unknown_keys(document), *_find_type_faults(document)]
    if faults:
        raise _build_error(faults)
    settings = msgspec.convert(document, Settings)
    faults = list(find_faults(settings))
    if faults:
        raise _build_error(faults)
    return settings


def _build_error(faults: list[str]) -> SettingsError:
    listing = '\n'.join(f'- {fault}' for fault in faults)
    return SettingsError(f'the settings have faults:\n{listing}\n', _REMEDY)


def _find_unknown_keys(document: _Document) -> Iterator[str]:
    for section, kind in get_type_hints(Settings).items():
        known = {field.name for field in dataclasses.fields(kind)}
        keys = document.get(section, {})
        if isinstance(keys, dict):
            for key in keys.keys() - known:
                yield f'[{section}] has no setting {key!r}'
    for section in document.keys() - get_type_hints(Settings).keys():
        yield f'there is no section [{section}]'


def _find_type_faults(document: _Document) -> Iterator[str]:
    required = {
        field.name
        for field in dataclasses.fields(Settings)
        if field.default_factory is dataclasses.MISSING
    }
    for section, kind in get_type_hints(Settings).items():
        if section not in document:
            if section in required:
                yield f'section [{section}] is missing'
            continue
        try:
            msgspec.convert(document[section], kind)
        except msgspec.ValidationError as error:
            yield f'[{section}] {error}'
