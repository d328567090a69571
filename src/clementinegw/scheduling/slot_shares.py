"""Divides what all entries use together by the demand of each.

Callers are spread unevenly over entries: by region, by the hash of their
address, by the size of the entries. Equal shares would leave slots idle at some
entries while requests wait at others.

    share = (1 - floor) * own / total + floor / entries

The floor is for entries that receive their first requests. The shares add up to
at most one if all own demands are part of the total. Where one entry's demand
rose from `own` to a higher value after the total was added up, they add up to
at most 2 - floor.
"""

import collections
from collections.abc import Iterable
import dataclasses

FLOOR = 0.2
# Lower demands, in requests per second, are no basis for shares.
NEGLIGIBLE_RATE = 0.01
# Higher ones are malformed.
_MAX_RATE = 1e9
# Weight of the newest period in a rate. With periods of a second, a rate is an
# average over about two seconds.
_SMOOTHING_FACTOR = 0.5
# Shortest period, in seconds; more requests count within a shorter one.
_MIN_PERIOD_S = 0.1
# Decimal places that are kept, so that equal demands yield equal shares.
_PLACES = 9
# Reports with older loads, in seconds, count as this old.
_MAX_LAG_S = 1.0


def share(own: float, total: float, entries: int) -> float:
    """Returns the share of one entry, from 0 to 1.

    Args:
      own: The entry's own demand.
      total: The demand of all entries.
      entries: The number of entries.
    """
    total = max(total, own, NEGLIGIBLE_RATE)
    return (1 - FLOOR) * own / total + FLOOR / entries


def relative_share(
    own: float | None, total: float | None, entries: int
) -> float:
    """Returns an entry's share of free slots, relative to an equal share.

    This is exactly 1 for equal demands, and if not all demands are known or
    there are none.

    Args:
      own: The entry's own demand, as it told it; None if it did not.
      total: The demand of all entries; None if one of them does not tell it.
      entries: The number of entries.
    """
    if own is None or total is None or entries < 2 or total < NEGLIGIBLE_RATE:
        return 1.0
    return round(share(own, total, entries) * entries, _PLACES)


def total_demand(demands: Iterable[float | None]) -> float | None:
    """Returns the sum of demands; None if one of them is not known."""
    total = 0.0
    for demand in demands:
        if demand is None:
            return None
        total += demand
    return total


def valid_demand(demand: float | None) -> float | None:
    """Returns a demand that another process told; None if it is malformed."""
    if demand is None or not 0.0 <= demand <= _MAX_RATE:
        return None
    return demand


class ArrivalRates:
    """The smoothed rate of requests of each service at one entry."""

    def __init__(self) -> None:
        """Starts without any request."""
        self._counts: dict[str, int] = {}
        self._rates: dict[str, float] = {}
        self._period_began_at: float | None = None
        self._periods = 0

    def record(self, service: str) -> None:
        """Records a request, whether or not it is served."""
        self._counts[service] = self._counts.get(service, 0) + 1

    def rate(self, service: str) -> float | None:
        """Returns the requests per second as of the end of the last period.

        This is None before the end of the first whole period: an entry that has
        just started does not know its demand, and would tell too little.
        """
        return self._rates.get(service, 0.0) if self._periods else None

    def end_period(self, now: float) -> None:
        """Ends a period, in monotonic seconds."""
        began_at, self._period_began_at = self._period_began_at, now
        if began_at is None:
            # It is not known since when the requests were counted.
            self._counts.clear()
            return
        elapsed_s = max(_MIN_PERIOD_S, now - began_at)
        self._periods += 1
        weight = max(_SMOOTHING_FACTOR, 1.0 / self._periods)
        rates = {}
        for service in self._rates.keys() | self._counts.keys():
            newest = self._counts.get(service, 0) / elapsed_s
            rate = self._rates.get(service, 0.0)
            rate += weight * (newest - rate)
            if rate >= NEGLIGIBLE_RATE:
                rates[service] = rate
        self._rates = rates
        self._counts.clear()


@dataclasses.dataclass(slots=True)
class UnreportedRequests:
    """An entry's requests that a server's reports do not include yet.

    A reported load is some tenths of a second old. Without their number, an
    entry would use the same free slots on each report until its requests show.
    Nothing counts before the age of reported loads is known.
    """

    _lag_s: float = 0.0
    _sent: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def known(self) -> bool:
        """Whether the age of reported loads is known."""
        return self._lag_s > 0.0

    def set_lag(self, lag_s: float) -> None:
        """Sets the age of the load in reports, in seconds."""
        self._lag_s = min(lag_s, _MAX_LAG_S)

    def record(self, now: float, tokens: int = 0) -> None:
        """Records a request that is sent.

        Args:
          now: Monotonic seconds.
          tokens: The tokens that it will hold; 0 if unknown.
        """
        if self.known:
            self._sent.append((now, tokens))
            self._drop_reported(now)

    def count(self, now: float) -> int:
        """Returns the number of requests that a report of now lacks."""
        self._drop_reported(now)
        return len(self._sent)

    def tokens(self, now: float) -> int:
        """Returns the tokens of the requests that a report of now lacks."""
        self._drop_reported(now)
        return sum(tokens for _, tokens in self._sent)

    def _drop_reported(self, now: float) -> None:
        while self._sent and self._sent[0][0] <= now - self._lag_s:
            self._sent.popleft()
