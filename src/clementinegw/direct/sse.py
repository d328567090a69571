"""Splits a stream of server-sent events, so that it can be resumed."""

import dataclasses
import re

# An event larger than this is relayed in parts and cannot be resumed. Bytes.
_MAX_EVENT_BYTES = 256 << 10
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
      data: The event's bytes, including the empty line that ends it.
      event_id: The value of its id field; None if it has none.
    """

    data: bytes
    event_id: str | None


class Splitter:
    """Splits bytes into events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._remainder = b""
        self._parted_bytes = 0

    @property
    def unended_bytes(self) -> int:
        """The size of the event that has not ended, with its relayed parts."""
        return self._parted_bytes + len(self._remainder)

    @property
    def remainder(self) -> bytes:
        """The bytes of the incomplete event at the end."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete."""
        text = self._remainder + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(text):
            events.append(_parse_event(text[start : end.end()]))
            start = end.end()
        self._remainder = text[start:]
        if start:
            self._parted_bytes = 0
        if len(self._remainder) > _MAX_EVENT_BYTES:
            self._parted_bytes += len(self._remainder)
            events.append(Event(self._remainder, None))
            self._remainder = b""
        return events


def _parse_event(data: bytes) -> Event:
    found = _ID_FIELD.search(data)
    event_id = found.group(1).decode("utf-8", "replace") if found else None
    return Event(data, event_id)
