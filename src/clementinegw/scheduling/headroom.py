"""Room kept at servers for requests that are more urgent (trunk reservation).

It answers a burst of less urgent requests while servers are few. Those may wait
longer, so that some of them wait at every entry and take each slot that becomes
free. The more urgent then find none, although they go first in each queue.

Less urgent requests therefore may not take the last free slots of a server: as
many as more urgent ones are expected to need until a slot is free again, or at
most until that shows in the load reports. If too much is kept, the less urgent
wait a little longer; if too little is kept, the order of the queue still
applies.

Two bounds keep a rank from starving: at most a part of the slots is kept, and a
rank of which too few requests are placed goes first until enough are.
"""

import bisect
import dataclasses
import math

from clementinegw.scheduling import rank as ranks

# Time until a slot that was taken or freed shows at the entries, in seconds: a
# report's interval and the age of the load in it.
REACTION_S = 0.3
# Time constant of the rates, in seconds: shorter than a burst, and long enough
# for some arrivals at an entry of a large fleet.
_RATE_S = 2.0
# More than the expected arrivals are kept, as these vary: by this many standard
# deviations, and by fewer from requests that cannot wait for the reaction.
_DEVIATIONS = 3.0
_IMPATIENT_DEVIATIONS = 1.0
# Weight of the newest request in the time for which requests hold a slot.
_HOLD_GAIN = 0.1
# Fewer expected arrivals at a server count as none.
_MIN_EXPECTED = 0.001
# The largest part of a server's slots that is kept.
_MAX_KEPT = 1 / 2
# A rank goes first while the share of its requests that are placed is below
# this part of the share of all requests.
_MIN_PLACED = 0.25
# Fewer arrivals of a rank within the time constant do not show whether it
# starves.
_MIN_SAMPLE = 2.0


class _Rate:
    """An exponentially decaying count."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = -math.inf

    def record(self, now: float) -> None:
        self._count = self.count(now) + 1.0
        self._at = now

    def count(self, now: float) -> float:
        """Returns about the number of events within the time constant."""
        if not self._count:
            return 0.0
        return self._count * math.exp(-(now - self._at) / _RATE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What is known of the servers of a request and of the other entries.

    Attributes:
      entries: Number of entries; at least 1.
      servers: Number of servers that could run the request.
      slots: Mean number of slots of a server.
    """

    entries: int
    servers: int
    slots: float


class Headroom:
    """The room that one entry keeps at the servers of one service."""

    def __init__(self) -> None:
        self._ranks: list[ranks.Rank] = []
        self._arrivals: dict[ranks.Rank, _Rate] = {}
        self._placements: dict[ranks.Rank, _Rate] = {}
        self._hold_s = REACTION_S

    @property
    def ranked(self) -> bool:
        """Whether requests of more than one rank have arrived."""
        return len(self._ranks) > 1

    def record_arrival(self, rank: ranks.Rank, now: float) -> None:
        """Records the arrival of a request that can be on time.

        Args:
          rank: Its rank.
          now: Monotonic seconds.
        """
        if rank not in self._arrivals:
            bisect.insort(self._ranks, rank)
            self._arrivals[rank] = _Rate()
            self._placements[rank] = _Rate()
        self._arrivals[rank].record(now)

    def record_placed(self, rank: ranks.Rank, now: float) -> None:
        """Records that a server was reserved for a request.

        Args:
          rank: Its rank.
          now: Monotonic seconds.
        """
        if rank in self._placements:
            self._placements[rank].record(now)

    def record_held(self, seconds: float) -> None:
        """Records for how long a request held a slot, in seconds."""
        self._hold_s += _HOLD_GAIN * (min(seconds, REACTION_S) - self._hold_s)

    def starving(self, now: float) -> frozenset[ranks.Rank]:
        """Returns the ranks that go first because they are served too little.

        Args:
          now: Monotonic seconds.
        """
        if not self.ranked:
            return frozenset()
        arrived = {r: self._arrivals[r].count(now) for r in self._ranks}
        placed = {r: self._placements[r].count(now) for r in self._ranks}
        placed_all, arrived_all = sum(placed.values()), sum(arrived.values())
        return frozenset(
            rank
            for rank in self._ranks
            if arrived[rank] >= _MIN_SAMPLE
            and placed[rank] * arrived_all
            < _MIN_PLACED * placed_all * arrived[rank]
        )

    def kept(
        self, rank: ranks.Rank, patient: bool, fleet: Fleet, now: float
    ) -> float:
        """Returns the part of a server's slots that is kept from requests.

        Args:
          rank: Their rank.
          patient: Whether they can wait for the reaction time.
          fleet: The servers and entries.
          now: Monotonic seconds.
        """
        if not self.ranked or not fleet.servers or fleet.slots <= 0.0:
            return 0.0
        ahead = self._ranks[: bisect.bisect_left(self._ranks, rank)]
        arrived = sum(self._arrivals[other].count(now) for other in ahead)
        per_server_s = arrived / _RATE_S * fleet.entries / fleet.servers
        expected = per_server_s * self._hold_s
        if expected < _MIN_EXPECTED:
            return 0.0
        deviations = _DEVIATIONS if patient else _IMPATIENT_DEVIATIONS
        needed = expected + deviations * math.sqrt(expected)
        return min(_MAX_KEPT, needed / fleet.slots)
