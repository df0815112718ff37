"""JSON logs whose messages are prefixed with a component name."""

import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.msgspec import MsgspecFormatter

from tamarackway_entry.telemetry._output import BoundedLogHandler


class ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Logger that prefixes each message with its component name."""

    def process(
        self,
        msg: Any,
        kwargs: MutableMapping[str, Any],
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the message with its prefix."""
        return f'{self.logger.name}: {msg}', kwargs


def component_logger(component: str) -> ComponentLogger:
    """Return the logger of a component of the daemon.

    :param component: name of the component, used as message prefix.
    """
    return ComponentLogger(logging.getLogger(component))


def configure_logging(level: str, instance: str) -> BoundedLogHandler:
    """Write the logs of all components to standard output as JSON lines.

    :param level: minimum level that is logged.
    :param instance: name of the instance, included in each line.
    :returns: the handler, which counts dropped lines.
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
    for library in ('websockets', 'uvicorn', 'httpcore'):
        logging.getLogger(library).setLevel(logging.CRITICAL)
    return handler
