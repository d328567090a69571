"""Keeps the requests of all entries within a limit that a server reported.

An overloaded backend server reports how many requests a second it takes from
all entries together. Time is divided into slots, one for each request that the
limit allows, and the entries take turns by rank (time-division multiple
access). So the sum over all entries keeps the limit without any message between
them, however many they are. Each entry gets a slot in every round, and so finds
out that the limit has changed or ended.

An unused slot stays valid for a while. In any span of s seconds all entries
together send at most `limit * (s + _VALID_S) + _VALID_SLOTS + 1` requests.
"""

from collections.abc import Callable
import dataclasses
import math
import zlib

from clementinegw.direct import types

# How long an unused slot stays valid: so many seconds, and so many slots
# besides. Requests arrive at any time, and most slots of a service with little
# traffic would pass unused.
_VALID_S = 1.5
_VALID_SLOTS = 2.0
# Lower limits count as this one, in requests a second. A server that reports
# 0 gets a probe from time to time, which shows when the limit has ended.
_MIN_PER_S = 0.1
# How many entries are assumed while no agent reports their number.
_ASSUMED_ENTRIES = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """An entry's position among those that send to a server.

    Attributes:
      rank: Its number among them, from 0.
      entries: How many they are.
    """

    rank: int
    entries: int

    def __str__(self) -> str:
        return f"{self.rank} of {self.entries}"

    @classmethod
    def assumed(cls, entry: str) -> "Position":
        """Returns the position of an entry to which no agent reports one."""
        rank = zlib.crc32(entry.encode()) % _ASSUMED_ENTRIES
        return cls(rank, _ASSUMED_ENTRIES)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What an answer of a server reported of its rate limit.

    Attributes:
      start: The start of the server.
      per_s: Requests a second; None where it reported no limit any more.
      at: When the answer came, in monotonic seconds.
    """

    start: types.ServerStart
    per_s: float | None
    at: float


class Limiter:
    """This entry's part of the limit of one start of a server."""

    def __init__(
        self,
        server_id: str,
        position: Callable[[], Position],
        wall_clock: Callable[[], float],
    ):
        """Limits nothing before `set_limit`.

        Args:
          server_id: The server; the slots of several servers are offset.
          position: Returns this entry's position among the senders.
          wall_clock: The time of day in seconds, about the same everywhere.
        """
        self._offset = zlib.crc32(server_id.encode())
        self._position = position
        self._wall_clock = wall_clock
        self._per_s: float | None = None
        self._used_at = -math.inf

    @property
    def position(self) -> Position:
        """This entry's position among the senders."""
        return self._position()

    @property
    def per_s(self) -> float | None:
        """The limit in force, in requests a second; None without one."""
        return self._per_s

    def set_limit(self, per_s: float | None) -> None:
        """Takes over the limit that the server reports; None ends it."""
        if per_s is not None:
            per_s = max(per_s, _MIN_PER_S)
        self._per_s = per_s

    def is_open(self) -> bool:
        """Returns whether a request may be sent now."""
        return self._per_s is None or self._next_slot() <= self._now_slot()

    def take_slot(self) -> bool:
        """Uses up a slot; returns whether a limit is in force."""
        if self._per_s is None:
            return False
        self._used_at = self._next_slot() / self._per_s
        return True

    def slots_within(self, span_s: float) -> float:
        """Returns how many requests may be sent in the next seconds."""
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
        if self._used_at > now + round_s + _VALID_S:
            # The time of day was set back; the slots that it passed through
            # before must not close the server until it is there again.
            self._used_at = now
        valid_from = (now - _VALID_S) * per_s - _VALID_SLOTS
        unused_from = self._used_at * per_s + 0.5
        first = math.ceil(max(valid_from, unused_from))
        own = (position.rank + self._offset) % position.entries
        return first + (own - first) % position.entries
