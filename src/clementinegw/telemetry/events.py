"""The catalogue of log events.

`make pages` generates docs/events.md from it. Numbers are never reused, and
each subsystem has a block of a hundred.
"""

import dataclasses
import enum


class Level(enum.StrEnum):
    """The log level of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of log line.

    Attributes:
      number: The number in the catalogue.
      name: The name in the log line.
      level: The log level.
      meaning: What happened.
      action: What an operator should do; empty for nothing.
    """

    number: int
    name: str
    level: Level
    meaning: str
    action: str = ""


_catalogue: dict[int, Event] = {}


def define(
    number: int, name: str, level: Level, meaning: str, action: str = ""
) -> Event:
    """Adds an event to the catalogue.

    Args:
      number: A number that is not in use.
      name: The name of the event in snake case.
      level: The log level.
      meaning: What happened, in one sentence.
      action: What an operator should do; empty for nothing.

    Returns:
      The event.

    Raises:
      ValueError: The number is in use.
    """
    if number in _catalogue:
        raise ValueError(f"event {number} is defined twice")
    event = Event(number, name, level, meaning, action)
    _catalogue[number] = event
    return event


def catalogue() -> list[Event]:
    """Returns all events in the order of their numbers."""
    return [_catalogue[number] for number in sorted(_catalogue)]


PROCESS_STARTED = define(
    100, "process_started", Level.INFO, "A daemon started and accepts work."
)
PROCESS_STOPPING = define(
    101,
    "process_stopping",
    Level.INFO,
    "A daemon was told to stop and finishes the work in progress.",
)
PROCESS_STOPPED = define(
    102, "process_stopped", Level.INFO, "A daemon stopped."
)
TASK_FAILED = define(
    103,
    "task_failed",
    Level.ERROR,
    "A background task failed and was restarted.",
    "Report it with the log line; this is a bug.",
)
CONNECTION_REFUSED = define(
    110,
    "connection_refused",
    Level.WARNING,
    "A peer did not prove that it holds the deployment's key.",
    "Compare the `key_file` of both instances.",
)
FRAME_DROPPED = define(
    111,
    "frame_dropped",
    Level.DEBUG,
    "A frame arrived for a call that is no longer open.",
)
FRAME_MALFORMED = define(
    112,
    "frame_malformed",
    Level.WARNING,
    "A peer sent bytes that are not a valid frame; its connection was closed.",
    "Check whether another program uses the same port.",
)
