"""Splits a stream into whole events, so that a broken one can go on."""

import dataclasses
import re

# An event larger than this is passed on in parts and cannot be resumed. Bytes.
_MAX_EVENT_BYTES = 256 << 10
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


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
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now."""
        text = self._rest + data
        events = []
        start = 0
        for end in _END.finditer(text):
            events.append(_event(text[start : end.end()]))
            start = end.end()
        self._rest = text[start:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            events.append(Event(self._rest, None))
            self._rest = b""
        return events


def _event(data: bytes) -> Event:
    found = _ID.search(data)
    event_id = found.group(1).decode("utf-8", "replace") if found else None
    return Event(data, event_id)
