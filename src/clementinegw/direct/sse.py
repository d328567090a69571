"""Splits a stream into whole events, so that a broken one can go on."""

import dataclasses
import re

# An event larger than this is passed on in parts and cannot be resumed. Bytes.
_MAX_EVENT_BYTES = 256 << 10
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
      data: Its bytes, with the empty line that ends it.
      event_id: Its id; None when it has none.
    """

    data: bytes
    event_id: str | None


class Splitter:
    """Cuts bytes into events; keeps the rest for the next bytes."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now."""
        text = self._remainder + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(text):
            events.append(_parse_event(text[start : end.end()]))
            start = end.end()
        self._remainder = text[start:]
        if len(self._remainder) > _MAX_EVENT_BYTES:
            events.append(Event(self._remainder, None))
            self._remainder = b""
        return events


def _parse_event(data: bytes) -> Event:
    found = _ID_FIELD.search(data)
    event_id = found.group(1).decode("utf-8", "replace") if found else None
    return Event(data, event_id)
