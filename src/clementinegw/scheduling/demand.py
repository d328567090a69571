"""Tracks which customers are within their share of a busy service.

Shares are max-min fair: the capacity is divided by weight, and the part that a
customer does not use is divided among the others. Requests of a customer within
its share need not wait for those of customers above theirs.
"""

import dataclasses
import math

_PERIOD_S = 1.0
_SMOOTHING_FACTOR = 0.15
# Measured rates are noisy, so a customer slightly above its share still counts
# as within it.
_SHARE_MARGIN = 1.25
_NEGLIGIBLE_RATE = 0.01
# If all customers are above their share, noise makes some seem to be within it.
# Customers that really are within their share use at least this share of the
# capacity together.
_MIN_WITHIN_SHARE_LOAD = 0.3


@dataclasses.dataclass(slots=True)
class _Customer:
    weight: float
    cost: float = 0.0
    rate: float = 0.0
    periods: int = 0
    within_share: bool = True


class DemandTracker:
    """The demand of each customer of one service at one entry."""

    def __init__(self) -> None:
        """Starts without any demand."""
        self._customers: dict[str, _Customer] = {}
        self._period_start: float | None = None
        self._mixed = False
        self._fair_rate = math.inf

    def record_request(
        self, name: str, weight: float, cost: float, now: float
    ) -> None:
        """Records a request, whether or not it is accepted.

        Args:
          name: The name of the customer.
          weight: The customer's weight.
          cost: The cost of the request, in units of one mean request.
          now: The current time, in monotonic seconds.
        """
        customer = self._customers.get(name)
        if customer is None:
            customer = self._customers[name] = _Customer(weight)
        customer.weight = weight
        customer.cost += cost
        if self._period_start is None:
            self._period_start = now

    def is_within_share(self, name: str) -> bool:
        """Returns whether a customer is within its share."""
        customer = self._customers.get(name)
        return customer is None or customer.within_share

    @property
    def fair_rate(self) -> float:
        """The max-min fair cost per second and unit of weight."""
        return self._fair_rate

    @property
    def mixed(self) -> bool:
        """Whether customers within their share compete with others.

        This requires that they cause a considerable part of the load.
        """
        return self._mixed

    def is_due(self, now: float) -> bool:
        """Returns whether the current period is over."""
        return self._period_start is not None and (
            now - self._period_start >= _PERIOD_S
        )

    def end_period(self, capacity: float, now: float) -> None:
        """Ends the period and compares its demand with the capacity.

        Args:
          capacity: The cost per second that this entry can run.
          now: The current time, in monotonic seconds.
        """
        assert self._period_start is not None
        elapsed_s = now - self._period_start
        self._period_start = now
        for name, customer in list(self._customers.items()):
            rate = customer.cost / elapsed_s
            # The first periods are averaged with equal weight. If the rate
            # were smoothed from zero, a customer that starts with a burst
            # would count as within its share for ten periods.
            customer.periods += 1
            weight = max(_SMOOTHING_FACTOR, 1.0 / customer.periods)
            customer.rate += weight * (rate - customer.rate)
            customer.cost = 0.0
            if customer.rate < _NEGLIGIBLE_RATE:
                del self._customers[name]
        self._fair_rate = self._find_fair_rate(capacity)
        for customer in self._customers.values():
            limit = customer.weight * self._fair_rate * _SHARE_MARGIN
            customer.within_share = customer.rate <= limit
        within_share = [
            c.rate for c in self._customers.values() if c.within_share
        ]
        self._mixed = (
            len(within_share) < len(self._customers)
            and sum(within_share) >= _MIN_WITHIN_SHARE_LOAD * capacity
        )

    def _find_fair_rate(self, capacity: float) -> float:
        """Returns the max-min fair rate per unit of weight."""
        remaining = capacity
        weights = sum(c.weight for c in self._customers.values())
        ordered = sorted(
            self._customers.values(), key=lambda c: c.rate / c.weight
        )
        for customer in ordered:
            if customer.rate / customer.weight > remaining / weights:
                return remaining / weights
            remaining -= customer.rate
            weights -= customer.weight
        return math.inf
