"""The attempts that wait for the backend server, urgent ones first."""

import collections

from clementinegw import types as shared
from clementinegw.gate import _attempt_table


class Queue:
    """First in, first out within each priority."""

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
        """Adds a record behind those of its priority."""
        assert record.attempt is not None
        self._by_priority[record.attempt.priority][record.sequence] = record
        self._size += 1

    def first(self) -> _attempt_table.Record | None:
        """Returns the record whose turn is next."""
        for line in self._by_priority.values():
            if line:
                return next(iter(line.values()))
        return None

    def lowest(self) -> _attempt_table.Record | None:
        """Returns the newest record of the lowest priority."""
        for line in reversed(self._by_priority.values()):
            if line:
                return next(reversed(line.values()))
        return None

    def remove(self, record: _attempt_table.Record) -> None:
        """Takes a record out."""
        assert record.attempt is not None
        if self._by_priority[record.attempt.priority].pop(
            record.sequence, None
        ):
            self._size -= 1
