"""Decides which customers of a service use more than their share at an entry.

It answers a load that exceeds the capacity for some seconds while one customer
sends several times what the others do, or repeats refused requests at once. The
others' requests then go first and find some slots free, so that such a customer
delays only itself.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

from clementinegw.scheduling import demand
from clementinegw.scheduling import rank as ranks

# Every request costs the same. A request takes one slot whatever its size, and
# how long it keeps the slot is unknown when it arrives.
_COST = 1.0
_WEIGHT = 1.0
# A request that waited longer than this, in seconds, waited for capacity and
# not only for the next load report.
_MAX_IMMEDIATE_WAIT_S = 0.15
# Counts of each period are reduced by this factor per further period, so that
# they cover about seven seconds.
_DECAY = 0.85
# An entry sees few requests of most customers, so that chance alone brings some
# of them above their share. Deviations of a Poisson count that are ignored.
_IGNORED_DEVIATIONS = 3.0
# Capacity is binding in a period if more than this fraction of its requests
# waited for it or got none. Single requests wait by chance.
_MIN_CONTENDED_RATIO = 0.1
# Customers and ranks of which less than this is counted are forgotten.
_NEGLIGIBLE_REQUESTS = 0.05
# What a customer over its share gets at least: this fraction of its share, and
# this fraction of the rate of success of all customers together.
_MIN_SHARE = 0.8
_MIN_PLACED_RATIO = 1.0 / 3.0
# Fraction of the slots that customers over their share leave free if the others
# can use the whole capacity. The others' requests come at random, so that they
# find slots in time only if some are kept free.
_KEPT_FREE = 0.4
# A rank has room if no more than this fraction of its requests is refused.
_MAX_REFUSED_RATIO = 0.1
# Slots kept free by a rank go to less urgent ones if these get more than this
# fraction of all placements.
_MAX_LESS_URGENT_RATIO = 0.1


@dataclasses.dataclass(slots=True)
class _Counts:
    """Decayed counts of the requests of a customer or a rank.

    Attributes:
      arrived: Requests that asked for a server.
      placed: Those of them that got one.
      refused: Those of them that found none in time.
    """

    arrived: float = 0.0
    placed: float = 0.0
    refused: float = 0.0

    def decay(self) -> None:
        self.arrived *= _DECAY
        self.placed *= _DECAY
        self.refused *= _DECAY


class CustomerShares:
    """The shares of the customers of one service at one entry.

    The capacity is what this entry placed while requests had to wait. Without
    waits the capacity is not binding, and no customer is over its share.
    """

    def __init__(self) -> None:
        """Starts without customers."""
        self._tracker = demand.DemandTracker()
        self._customers: dict[str, _Counts] = collections.defaultdict(_Counts)
        self._ranks: dict[ranks.Rank, _Counts] = collections.defaultdict(
            _Counts
        )
        self._elapsed_s = 0.0
        self._period_start: float | None = None
        self._arrived = 0
        self._contended = 0
        self._over: frozenset[str] = frozenset()
        self._limited_ranks: frozenset[ranks.Rank] = frozenset()
        self._limit = 1.0

    def __len__(self) -> int:
        """Returns the number of customers that are remembered."""
        return len(self._customers)

    def is_over_share(self, customer: str) -> bool:
        """Returns whether others of the same rank go first.

        Args:
          customer: Name of the customer; all anonymous callers are one customer
            with an empty name.
        """
        return customer in self._over

    def limit(self, customer: str, rank: ranks.Rank) -> float:
        """Returns the fraction of a server's slots that a request may use.

        Ranks that have room are not limited, since their requests are served
        anyway, nor ranks whose slots less urgent requests would get.

        Args:
          customer: Name of the request's customer.
          rank: The request's rank.
        """
        if customer in self._over and rank in self._limited_ranks:
            return self._limit
        return 1.0

    def record_arrival(
        self, customer: str, rank: ranks.Rank, now: float
    ) -> None:
        """Records a request, whether or not it gets a server.

        A repeat of a refused request counts too: it takes the same capacity.

        Args:
          customer: Name of its customer.
          rank: Its rank.
          now: Monotonic seconds.
        """
        if self._period_start is None:
            self._period_start = now
        if self._tracker.is_due(now):
            self._end_period(now)
        self._tracker.record_request(customer, _WEIGHT, _COST, now)
        self._arrived += 1
        self._customers[customer].arrived += 1.0
        self._ranks[rank].arrived += 1.0

    def record_placed(
        self, customer: str, rank: ranks.Rank, waited_s: float
    ) -> None:
        """Records that a request got a server.

        Args:
          customer: Name of its customer.
          rank: Its rank.
          waited_s: How long it waited, in seconds.
        """
        self._customers[customer].placed += 1.0
        self._ranks[rank].placed += 1.0
        self._contended += waited_s > _MAX_IMMEDIATE_WAIT_S

    def record_refused(self, rank: ranks.Rank) -> None:
        """Records that a request of a rank found no capacity in time."""
        self._ranks[rank].refused += 1.0
        self._contended += 1

    def _end_period(self, now: float) -> None:
        assert self._period_start is not None
        self._elapsed_s += now - self._period_start
        self._period_start = now
        arrived = sum(counts.arrived for counts in self._customers.values())
        placed = sum(counts.placed for counts in self._customers.values())
        self._tracker.end_period(placed / self._elapsed_s, now)
        self._over = frozenset(self._find_over(placed / max(1.0, arrived)))
        within = arrived - sum(
            self._customers[name].arrived for name in self._over
        )
        self._limit = 1.0 - _KEPT_FREE * min(1.0, within / max(1.0, placed))
        self._limited_ranks = frozenset(self._find_limited_ranks(placed))
        self._arrived = self._contended = 0
        self._elapsed_s *= _DECAY
        _decay(self._customers)
        _decay(self._ranks)

    def _find_over(self, placed_ratio: float) -> Iterable[str]:
        """Yields the customers that are over their share.

        Args:
          placed_ratio: Fraction of all requests that got a server.
        """
        fair = self._tracker.fair_rate * self._elapsed_s
        contended = self._contended > _MIN_CONTENDED_RATIO * self._arrived
        if not contended or len(self._customers) < 2 or math.isinf(fair):
            return
        significant = fair + _IGNORED_DEVIATIONS * math.sqrt(fair)
        for name, counts in self._customers.items():
            floor = max(
                _MIN_SHARE * fair,
                _MIN_PLACED_RATIO * placed_ratio * counts.arrived,
            )
            if (
                not self._tracker.is_within_share(name)
                and counts.arrived > significant
                and counts.placed > floor
            ):
                yield name

    def _find_limited_ranks(self, placed: float) -> Iterable[ranks.Rank]:
        """Yields the ranks in which customers over their share are limited.

        Args:
          placed: Count of all requests that got a server.
        """
        less_urgent = 0.0
        for rank, counts in sorted(self._ranks.items(), reverse=True):
            if less_urgent > _MAX_LESS_URGENT_RATIO * placed:
                return
            if counts.refused > _MAX_REFUSED_RATIO * counts.arrived:
                yield rank
            less_urgent += counts.placed


def _decay(counts_by_key: dict) -> None:
    """Reduces counts and removes the negligible ones."""
    for key, counts in list(counts_by_key.items()):
        counts.decay()
        if counts.arrived < _NEGLIGIBLE_REQUESTS:
            del counts_by_key[key]
