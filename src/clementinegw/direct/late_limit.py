"""Adaptive limit on the server utilization that late requests may use.

It guards against a backlog that outlasts a burst: callers that were refused
retry, are too late to be on time and fill the engines. New requests then find
no slot, become late in turn and are retried as well. The limit for late
requests therefore shrinks under load.

How many slots new requests will need is unknown, so the limit adapts: it
shrinks whenever a request finds no capacity in time, and grows while all do.

Each rank has its own limit, which follows the requests of this rank and of more
urgent ones: a miss of a less urgent request must not keep a more urgent one
from a slot.
"""

from clementinegw.scheduling import rank as ranks

# Factor of the limit for each new request that found no capacity in time, and
# increment for each one that found capacity immediately. Five misses halve the
# limit, and ten immediate placements make up for one miss.
_DECREASE_FACTOR = 0.85
_INCREASE = 0.012
# A request that waited no longer than this found capacity immediately, in
# seconds: one or two dispatches of the queue.
_MAX_IMMEDIATE_WAIT_S = 0.05


class LateLimit:
    """Utilization limit for late requests."""

    def __init__(self, low: float, high: float):
        """Starts at `high`, as no request has missed its objective yet.

        Args:
          low: Smallest limit, so that late requests never starve while others
            arrive.
          high: Largest limit.
        """
        self._low = low
        self._high = high
        self._limit = high

    @property
    def limit(self) -> float:
        """Servers below this utilization accept a late request."""
        return self._limit

    def record_placed(self, waited_s: float) -> None:
        """Records that a request that can be on time was placed."""
        if waited_s <= _MAX_IMMEDIATE_WAIT_S:
            self._limit = min(self._high, self._limit + _INCREASE)

    def record_miss(self) -> None:
        """Records that a request found no capacity in time."""
        self._limit = max(self._low, self._limit * _DECREASE_FACTOR)


class LateLimits:
    """The limits for late requests of each rank of a service."""

    def __init__(self, low: float, high: float):
        """Starts all limits at `high`.

        Args:
          low: Smallest limit.
          high: Largest limit.
        """
        self._low = low
        self._high = high
        self._limits: dict[ranks.Rank, LateLimit] = {}

    def limit(self, rank: ranks.Rank) -> float:
        """Returns the utilization below which servers accept late requests.

        Args:
          rank: The rank of the late requests.
        """
        return self._of(rank).limit

    def record_placed(self, rank: ranks.Rank, waited_s: float) -> None:
        """Records that a request that can be on time was placed."""
        self._of(rank)
        for other, limit in self._limits.items():
            if rank <= other:
                limit.record_placed(waited_s)

    def record_miss(self, rank: ranks.Rank) -> None:
        """Records that a request found no capacity in time."""
        self._of(rank)
        for other, limit in self._limits.items():
            if rank <= other:
                limit.record_miss()

    def _of(self, rank: ranks.Rank) -> LateLimit:
        limit = self._limits.get(rank)
        if limit is None:
            limit = self._limits[rank] = LateLimit(self._low, self._high)
        return limit
