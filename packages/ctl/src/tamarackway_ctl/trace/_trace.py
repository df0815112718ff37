"""Selects the log lines of a request and their context on its instance."""

import datetime as dt
import json
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

# States of targets and stores change within seconds; older lines mislead.
_CONTEXT_WINDOW_S: Final = 10.0
_PARSE_ERRORS: Final = (ValueError, KeyError, TypeError, AttributeError)
# Components whose lines concern all requests of an instance.
_SHARED_COMPONENTS: Final = ('platform:', 'follow:', 'daemon:', 'settings:')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line.

    :param timestamp: time of writing, in UTC.
    :param instance: name of the instance that wrote it.
    :param message: message text, prefixed with the name of the component.
    :param fields: the remaining fields.
    """

    timestamp: dt.datetime
    instance: str
    message: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return the line as human-readable text."""
        stamp = self.timestamp.isoformat(sep=' ', timespec='milliseconds')
        shown = [f'{name}={self.fields[name]}' for name in self.fields]
        return ' '.join([stamp, self.instance, self.message, *shown])


def parse_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured log lines and skip all other lines.

    :param raw_lines: lines of collected logs, in any order.
    """
    for text in raw_lines:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            stamp = f'{fields.pop("asctime")}+00:00'
            timestamp = dt.datetime.fromisoformat(stamp)
        except _PARSE_ERRORS:
            continue
        yield LogLine(
            timestamp,
            fields.pop('instance', ''),
            fields.pop('message', ''),
            fields,
        )


def find_related_lines(
    lines: Sequence[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines that explain a request, ordered by time.

    :param lines: all parsed lines.
    :param request_id: identifier of the request.

    Besides the lines of the request itself, these are the lines that the
    same instance wrote shortly before about the attempted targets, the store
    or the configuration.
    """
    request_lines = [
        line for line in lines if line.fields.get('request_id') == request_id
    ]
    context = [
        line
        for line in lines
        if any(_is_context(line, own) for own in request_lines)
    ]
    return sorted([*request_lines, *context], key=lambda line: line.timestamp)


def _is_context(line: LogLine, request_line: LogLine) -> bool:
    if line.instance != request_line.instance or 'request_id' in line.fields:
        return False
    age_s = (request_line.timestamp - line.timestamp).total_seconds()
    if not 0 <= age_s <= _CONTEXT_WINDOW_S:
        return False
    if line.message.startswith(_SHARED_COMPONENTS):
        return True
    attempted = [
        step.split(' ')[0] for step in request_line.fields.get('trail', ())
    ]
    return any(name in line.message for name in attempted)
