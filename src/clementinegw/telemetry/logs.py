"""Structured logs with one JSON line per event."""

import logging
import sys
from typing import Any

import structlog

from clementinegw.telemetry import events

_LEVELS = {
    events.Level.DEBUG: logging.DEBUG,
    events.Level.INFO: logging.INFO,
    events.Level.WARNING: logging.WARNING,
    events.Level.ERROR: logging.ERROR,
}


def configure(level: events.Level = events.Level.INFO) -> None:
    """Writes log lines of `level` and above to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


class Log:
    """Writes events with fields that identify the process."""

    def __init__(self, **fields: Any):
        self._logger = structlog.get_logger().bind(**fields)

    def bind(self, **fields: Any) -> "Log":
        """Returns a log that adds these fields to each line."""
        bound = Log()
        bound._logger = self._logger.bind(**fields)
        return bound

    def write(self, event: events.Event, **fields: Any) -> None:
        """Writes an event, whose fields must not contain bodies or keys."""
        self._logger.log(
            _LEVELS[event.level], event.name, number=event.number, **fields
        )
