"""Bounds the memory that a process holds for all its callers and servers.

Each connection has bounded buffers, but a process has thousands of connections.
When many peers read slowly at the same time, the sum would exceed the memory of
the process, which then loses all requests instead of a few.
"""

import math

from clementinegw import exceptions

# The share of the limit up to which new requests are accepted. The rest is left
# for the answers to requests that were accepted before.
_NEW_SHARE = 0.75
# Memory of the process without any request, in bytes.
_BASE_BYTES = 64e6
# The share of the remaining memory that may be held in buffers: bytes are
# copied when they are parsed, and connections take memory of their own.
_BUFFER_SHARE = 0.5
# The limit in very small instances, in bytes.
_MIN_LIMIT_BYTES = 4e6


class OutOfMemory(exceptions.ClementineError):
    """An answer was not read because buffers use the available memory."""

    def __init__(self) -> None:
        super().__init__("buffers use the available memory")


class BufferBudget:
    """Counts the bytes held in buffers and compares them with a limit.

    Attributes:
      limit_bytes: The limit, in bytes; infinite if there is none.
      held_bytes: The bytes that are held.
    """

    def __init__(self, limit_bytes: float = math.inf):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def short(self) -> bool:
        """Whether new requests are refused."""
        return self.held_bytes > _NEW_SHARE * self.limit_bytes

    def reserve_new(self, count: int) -> bool:
        """Reserves bytes of a new request; returns False if there is no room.

        Args:
          count: The number of bytes; 0 asks whether a request without a body
            may be accepted.
        """
        if self.held_bytes + count > _NEW_SHARE * self.limit_bytes:
            return False
        self.held_bytes += count
        return True

    def change(self, count: int) -> None:
        """Counts bytes that were added to buffers, or removed if negative."""
        self.held_bytes += count


class AnswerMemory:
    """The bytes that the buffered answers to one request hold."""

    def __init__(self, budget: BufferBudget):
        self._budget = budget
        self._held_bytes = 0

    def add(self, count: int) -> None:
        """Reserves bytes of an answer.

        Raises:
          OutOfMemory: They exceed the limit.
        """
        budget = self._budget
        if budget.held_bytes + count > budget.limit_bytes:
            raise OutOfMemory
        budget.change(count)
        self._held_bytes += count

    def release(self) -> None:
        """Releases all bytes; may be repeated."""
        self._budget.change(-self._held_bytes)
        self._held_bytes = 0


def limit_for(memory_bytes: float | None) -> float:
    """Returns the limit for a process, in bytes; infinite without a bound.

    Args:
      memory_bytes: The memory that the process may use; None or 0 if unknown.
    """
    if not memory_bytes:
        return math.inf
    return max(_MIN_LIMIT_BYTES, _BUFFER_SHARE * (memory_bytes - _BASE_BYTES))
