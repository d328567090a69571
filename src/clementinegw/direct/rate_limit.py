"""Distributed rate limiting of requests to a backend server.

An overloaded backend server reports how many requests per second it accepts
from all entries together. Time is divided into slots, one for each request that
the limit allows, and the entries take turns by rank (time-division multiple
access). So all entries together keep the limit without exchanging messages,
whatever their number. Each entry gets a slot in every round and thereby detects
that the limit has changed or ended.

An unused slot stays valid for a while. In any span of s seconds all entries
together send at most `limit * (s + validity.seconds) + validity.slots + 1`
requests.
"""

from collections.abc import Callable
import dataclasses
import math
import zlib

from clementinegw.direct import types

# Lower limits are raised to this, in requests per second. A server that reports
# 0 thus gets occasional probes, which detect the end of the limit.
_MIN_PER_S = 0.1
# Number of entries assumed until an agent reports it.
_ASSUMED_ENTRIES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Validity:
    """How long an unused slot stays valid.

    Requests arrive at any time, so at low traffic most slots would otherwise
    expire unused.

    Attributes:
      seconds: A part of this time, in seconds.
      slots: The other part, in slots.
    """

    seconds: float = 1.5
    slots: float = 2.0


_DEFAULT_VALIDITY = Validity()


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """An entry's position among the entries that send to a server.

    Attributes:
      rank: Index of the entry, from 0.
      entries: Number of these entries.
    """

    rank: int
    entries: int

    def __str__(self) -> str:
        return f"{self.rank} of {self.entries}"

    @classmethod
    def assumed(cls, entry: str) -> "Position":
        """Returns the position of an entry before any agent reports one."""
        rank = zlib.crc32(entry.encode()) % _ASSUMED_ENTRIES
        return cls(rank, _ASSUMED_ENTRIES)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The rate limit reported in an answer of a server.

    Attributes:
      start: The start of the server.
      per_s: The limit in requests per second; None if none is in force anymore.
      at: When the answer arrived, in monotonic seconds.
    """

    start: types.ServerStart
    per_s: float | None
    at: float


class Limiter:
    """This entry's share of the rate limit of one start of a server."""

    def __init__(
        self,
        server_id: str,
        position: Callable[[], Position],
        wall_clock: Callable[[], float],
    ):
        """Initializes the limiter without a limit.

        Args:
          server_id: The server's id; offsets the slots of different servers.
          position: Returns this entry's position among the senders.
          wall_clock: Returns the time of day in seconds, roughly synchronized
            between entries.
        """
        self._offset = zlib.crc32(server_id.encode())
        self._position = position
        self._wall_clock = wall_clock
        self._per_s: float | None = None
        self._validity = _DEFAULT_VALIDITY
        self._used_at = -math.inf

    @property
    def position(self) -> Position:
        """This entry's position among the senders."""
        return self._position()

    @property
    def per_s(self) -> float | None:
        """The limit in force, in requests per second; None if none is."""
        return self._per_s

    def set_limit(
        self, per_s: float | None, validity: Validity = _DEFAULT_VALIDITY
    ) -> None:
        """Sets the limit of the server, in requests per second.

        Args:
          per_s: The limit; None ends it.
          validity: How long an unused slot stays valid.
        """
        if per_s is not None:
            per_s = max(per_s, _MIN_PER_S)
        self._per_s = per_s
        self._validity = validity

    def is_open(self) -> bool:
        """Returns whether a request may be sent now."""
        return self._per_s is None or self._next_slot() <= self._now_slot()

    def take_slot(self) -> bool:
        """Uses a slot and returns whether a limit is in force."""
        if self._per_s is None:
            return False
        self._used_at = self._next_slot() / self._per_s
        return True

    def slots_within(self, span_s: float) -> float:
        """Returns how many requests may be sent within a time span.

        Args:
          span_s: Length of the span from now, in seconds.
        """
        if self._per_s is None:
            return math.inf
        last = (self._wall_clock() + span_s) * self._per_s
        return max(
            0, (last - self._next_slot()) // self._position().entries + 1
        )

    def _now_slot(self) -> float:
        assert self._per_s is not None
        return self._wall_clock() * self._per_s

    def _next_slot(self) -> int:
        """Returns the first slot of this entry that is valid and unused."""
        assert self._per_s is not None
        now, per_s, position = self._wall_clock(), self._per_s, self._position()
        round_s = position.entries / per_s
        validity = self._validity
        if self._used_at > now + round_s + validity.seconds:
            # The time of day was set back. Slots used at times that are now in
            # the future must not block the server until they are reached.
            self._used_at = now
        valid_from = (now - validity.seconds) * per_s - validity.slots
        unused_from = self._used_at * per_s + 0.5
        first = math.ceil(max(valid_from, unused_from))
        own = (position.rank + self._offset) % position.entries
        return first + (own - first) % position.entries
