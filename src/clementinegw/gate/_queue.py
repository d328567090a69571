"""The queue of attempts that wait for the backend server."""

import collections

from clementinegw import types as shared
from clementinegw.gate import _attempt_table


class Queue:
    """A queue ordered by priority, first in, first out within each."""

    def __init__(self) -> None:
        self._by_priority: dict[
            shared.Priority, collections.OrderedDict[int, _attempt_table.Record]
        ] = {
            priority: collections.OrderedDict()
            for priority in sorted(shared.Priority, reverse=True)
        }
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, record: _attempt_table.Record) -> None:
        """Adds a record after the others of its priority."""
        assert record.attempt is not None
        self._by_priority[record.attempt.priority][record.sequence] = record
        self._size += 1

    def first(self) -> _attempt_table.Record | None:
        """Returns the oldest record of the highest priority; None if empty."""
        for records in self._by_priority.values():
            if records:
                return next(iter(records.values()))
        return None

    def lowest(self) -> _attempt_table.Record | None:
        """Returns the newest record of the lowest priority; None if empty."""
        for records in reversed(self._by_priority.values()):
            if records:
                return next(reversed(records.values()))
        return None

    def remove(self, record: _attempt_table.Record) -> None:
        """Removes a record; does nothing if it is not in the queue."""
        assert record.attempt is not None
        if self._by_priority[record.attempt.priority].pop(
            record.sequence, None
        ):
            self._size -= 1
