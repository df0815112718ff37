"""JSON logs whose messages start with the name of a part."""

import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.msgspec import MsgspecFormatter

from tamarackway_entry.telemetry._output import BoundedLogHandler


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that puts the name of its part before each message."""

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the message with its prefix."""
        return f'{self.logger.name}: {msg}', kwargs


def component_logger(part: str) -> ComponentLogger:
    """Return the logger of a part of the daemon.

    :param part: name of the part, which each message starts with.
    """
    return ComponentLogger(logging.getLogger(part))


def configure_logging(level: str, instance: str) -> BoundedLogHandler:
    """Send the logs of all parts to standard output as JSON lines.

    :param level: least severe level that is logged.
    :param instance: name of the instance, repeated on each line.
    :returns: the handler, which counts the lines that it drops.
    """
    formatter = MsgspecFormatter(
        '{asctime}{levelname}{message}',
        style='{',
        static_fields={'instance': instance},
    )
    formatter.converter = time.gmtime
    handler = BoundedLogHandler(sys.stdout.fileno())
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for noisy in ('websockets', 'uvicorn', 'httpcore'):
        logging.getLogger(noisy).setLevel(logging.CRITICAL)
    return handler
