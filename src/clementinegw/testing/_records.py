"""In-memory log streams and the instance list, without faults or sockets."""

import asyncio
import bisect

from clementinegw import types
from clementinegw.platform import instances
from clementinegw.platform import log

_FIRST_OFFSET = 1


class _Stream:
    """One stream and an event for tasks that wait for its next record."""

    def __init__(self) -> None:
        self.records: list[log.Record] = []
        self.next_offset = _FIRST_OFFSET
        self.changed = asyncio.Event()

    @property
    def first_offset(self) -> int:
        """The offset of the oldest retained record."""
        return self.records[0].offset if self.records else self.next_offset

    def notify(self) -> None:
        """Wakes every task that waits for a change of the stream."""
        self.changed.set()
        self.changed = asyncio.Event()


class Records:
    """The streams of one log."""

    def __init__(self, retention_s: float | None = None):
        """Creates an empty log.

        Args:
          retention_s: Seconds that a record is kept; None keeps all.
        """
        self.retention_s = retention_s
        self._streams: dict[str, _Stream] = {}

    @property
    def streams(self) -> list[str]:
        """The names of the streams, sorted."""
        return sorted(self._streams)

    def append(self, stream: str, value: bytes, time: float) -> int:
        """Appends a record and returns its offset."""
        state = self._stream(stream)
        offset = state.next_offset
        state.records.append(log.Record(offset, time, value))
        state.next_offset = offset + 1
        state.notify()
        return offset

    def page(
        self, stream: str, offset: int, limit: int, time: float
    ) -> log.Page:
        """Returns the records from an offset on, without expired ones."""
        self.expire(time)
        state = self._stream(stream)
        start = bisect.bisect_left(
            state.records, offset, key=lambda record: record.offset
        )
        records = tuple(state.records[start : start + limit])
        return log.Page(records, state.first_offset, state.next_offset)

    async def wait(self, stream: str, offset: int) -> None:
        """Waits until the stream passes an offset or is changed by a fault."""
        state = self._stream(stream)
        if state.next_offset <= offset:
            await state.changed.wait()

    def notify_all(self) -> None:
        """Wakes all waiting tasks, so that they check the faults again."""
        for state in self._streams.values():
            state.notify()

    def expire(self, time: float) -> None:
        """Removes the records that are older than the retention."""
        if self.retention_s is None:
            return
        oldest = time - self.retention_s
        for state in self._streams.values():
            count = bisect.bisect_left(
                state.records, oldest, key=lambda record: record.time
            )
            del state.records[:count]

    def truncate(self, stream: str, before: int | None = None) -> None:
        """Removes all records below an offset; all when it is None."""
        state = self._stream(stream)
        end = state.next_offset if before is None else before
        state.records = [r for r in state.records if r.offset >= end]
        state.notify()

    def truncate_all(self) -> None:
        """Removes every record of every stream."""
        for stream in self.streams:
            self.truncate(stream)

    def roll_back(self, stream: str, next_offset: int) -> None:
        """Restores an older state: removes the records from an offset on."""
        state = self._stream(stream)
        state.records = [r for r in state.records if r.offset < next_offset]
        state.next_offset = min(state.next_offset, next_offset)
        state.notify()

    def skip(self, stream: str, count: int) -> None:
        """Leaves a gap: the next `count` offsets are assigned to no record."""
        self._stream(stream).next_offset += count

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())


class DelayedList:
    """The platform's instance list, which shows changes after a fixed delay.

    Attributes:
      lag_s: The delay, in seconds.
    """

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self._changes: list[
            tuple[float, str, instances.ListedInstance | None]
        ] = []

    def announce(
        self, instance: types.Instance, state: instances.State, now: float
    ) -> None:
        """Adds an instance or changes its state."""
        listed = instances.ListedInstance(instance, state)
        self._changes.append((now, instance.instance_id, listed))

    def remove(self, instance_id: str, now: float) -> None:
        """Removes an instance from the list."""
        self._changes.append((now, instance_id, None))

    def listed(self, now: float) -> list[instances.ListedInstance]:
        """Returns the list as it was `lag_s` ago."""
        current: dict[str, instances.ListedInstance] = {}
        for time, instance_id, listed in self._changes:
            if time + self.lag_s > now:
                break
            current.pop(instance_id, None)
            if listed is not None:
                current[instance_id] = listed
        return list(current.values())


def flip_middle_bit(data: bytes) -> bytes:
    """Returns the bytes with one bit flipped in the middle."""
    if not data:
        return data
    middle = len(data) // 2
    return data[:middle] + bytes([data[middle] ^ 1]) + data[middle + 1 :]
