"""The state of a log: streams of records, without faults or sockets."""

import asyncio
import bisect

from clementinegw import types
from clementinegw.platform import instances
from clementinegw.platform import log

_FIRST_OFFSET = 1


class _Stream:
    """One stream and those that wait for its next record."""

    def __init__(self) -> None:
        self.records: list[log.Record] = []
        self.next_offset = _FIRST_OFFSET
        self.changed = asyncio.Event()

    @property
    def first_offset(self) -> int:
        """The oldest offset kept."""
        return self.records[0].offset if self.records else self.next_offset

    def notify(self) -> None:
        """Wakes all that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class Records:
    """All streams of one log."""

    def __init__(self, retention_s: float | None = None):
        """Starts empty.

        Args:
          retention_s: Seconds a record is kept; None keeps all.
        """
        self.retention_s = retention_s
        self._streams: dict[str, _Stream] = {}

    @property
    def streams(self) -> list[str]:
        """The streams' names, sorted."""
        return sorted(self._streams)

    def append(self, stream: str, value: bytes, time: float) -> int:
        """Adds a record and returns its offset."""
        state = self._stream(stream)
        offset = state.next_offset
        state.records.append(log.Record(offset, time, value))
        state.next_offset = offset + 1
        state.notify()
        return offset

    def page(
        self, stream: str, offset: int, limit: int, time: float
    ) -> log.Page:
        """Returns what is kept from an offset on, after expiry."""
        self.expire(time)
        state = self._stream(stream)
        start = bisect.bisect_left(
            state.records, offset, key=lambda record: record.offset
        )
        records = tuple(state.records[start : start + limit])
        return log.Page(records, state.first_offset, state.next_offset)

    async def wait(self, stream: str, offset: int) -> None:
        """Waits until the stream reaches an offset or is tampered with."""
        state = self._stream(stream)
        if state.next_offset <= offset:
            await state.changed.wait()

    def notify_all(self) -> None:
        """Wakes all that wait, so that they look at the faults again."""
        for state in self._streams.values():
            state.notify()

    def expire(self, time: float) -> None:
        """Drops the records whose time is over."""
        if self.retention_s is None:
            return
        oldest = time - self.retention_s
        for state in self._streams.values():
            count = bisect.bisect_left(
                state.records, oldest, key=lambda record: record.time
            )
            del state.records[:count]

    def truncate(self, stream: str, before: int | None = None) -> None:
        """Drops all records below an offset; all when it is None."""
        state = self._stream(stream)
        end = state.next_offset if before is None else before
        state.records = [r for r in state.records if r.offset >= end]
        state.notify()

    def truncate_all(self) -> None:
        """Drops every record of every stream."""
        for stream in self.streams:
            self.truncate(stream)

    def roll_back(self, stream: str, next_offset: int) -> None:
        """Makes the log an older one: forgets the records from an offset on."""
        state = self._stream(stream)
        state.records = [r for r in state.records if r.offset < next_offset]
        state.next_offset = min(state.next_offset, next_offset)
        state.notify()

    def skip(self, stream: str, count: int) -> None:
        """Leaves a gap: the next offsets are given to no record."""
        self._stream(stream).next_offset += count

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())


class DelayedList:
    """The platform's list: each change is seen a fixed time later."""

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self._changes: list[
            tuple[float, str, instances.ListedInstance | None]
        ] = []

    def announce(
        self, instance: types.Instance, state: instances.State, now: float
    ) -> None:
        """Enters an instance or changes its state."""
        listed = instances.ListedInstance(instance, state)
        self._changes.append((now, instance.instance_id, listed))

    def remove(self, instance_id: str, now: float) -> None:
        """Takes an instance off the list."""
        self._changes.append((now, instance_id, None))

    def listed(self, now: float) -> list[instances.ListedInstance]:
        """Returns the list as it stood `lag_s` ago."""
        seen: dict[str, instances.ListedInstance] = {}
        for time, instance_id, listed in self._changes:
            if time + self.lag_s > now:
                break
            seen.pop(instance_id, None)
            if listed is not None:
                seen[instance_id] = listed
        return list(seen.values())


def flip_middle_bit(data: bytes) -> bytes:
    """Returns the bytes with one bit changed in the middle."""
    if not data:
        return data
    middle = len(data) // 2
    return data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :]
