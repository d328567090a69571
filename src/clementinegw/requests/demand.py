"""Which customers stay within their share of a busy service.

The share is max-min fair: capacity is divided by weight, and what a customer
does not ask for goes to the others. One that asks for less than its share is
light. Its requests need not wait for those who ask for more.
"""

import dataclasses
import math

_PERIOD_S = 1.0
_SMOOTHING_FACTOR = 0.15
# A rate is measured with noise; one somewhat above its share is still light.
_SHARE_MARGIN = 1.25
_NEGLIGIBLE_RATE = 0.01
# When all ask for more than their share, noise makes one or the other seem
# light; those that are ask for a good part of the capacity together.
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
        """Starts without demand."""
        self._customers: dict[str, _Customer] = {}
        self._period_start: float | None = None
        self._mixed = False

    def record_request(
        self, name: str, weight: float, cost: float, now: float
    ) -> None:
        """Notes a request, whether it is taken in or not.

        Args:
          name: The customer.
          weight: Its weight.
          cost: What the request takes, in units of one mean request.
          now: Monotonic seconds.
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
    def mixed(self) -> bool:
        """Whether light customers, beside others, are much of the work."""
        return self._mixed

    def is_due(self, now: float) -> bool:
        """Returns whether the present period is over."""
        return self._period_start is not None and (
            now - self._period_start >= _PERIOD_S
        )

    def end_period(self, capacity: float, now: float) -> None:
        """Compares the demand with the capacity.

        Args:
          capacity: Cost a second that this entry can have served.
          now: Monotonic seconds.
        """
        assert self._period_start is not None
        elapsed_s = now - self._period_start
        self._period_start = now
        for name, customer in list(self._customers.items()):
            rate = customer.cost / elapsed_s
            # The first periods count fully. Smoothed from zero, a customer
            # that starts with a burst would seem light for ten of them.
            customer.periods += 1
            weight = max(_SMOOTHING_FACTOR, 1.0 / customer.periods)
            customer.rate += weight * (rate - customer.rate)
            customer.cost = 0.0
            if customer.rate < _NEGLIGIBLE_RATE:
                del self._customers[name]
        fair_rate = self._fair_rate(capacity)
        for customer in self._customers.values():
            limit = customer.weight * fair_rate * _SHARE_MARGIN
            customer.within_share = customer.rate <= limit
        within_share = [
            c.rate for c in self._customers.values() if c.within_share
        ]
        self._mixed = (
            len(within_share) < len(self._customers)
            and sum(within_share) >= _MIN_WITHIN_SHARE_LOAD * capacity
        )

    def _fair_rate(self, capacity: float) -> float:
        """Returns the rate for each unit of weight at which all is used."""
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
