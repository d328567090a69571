"""Retry budget of an entry.

The limit applies to the sum over all entries. Each entry uses the ratio for its
own requests, and a share of the slack according to the number of entries that
agents report. So the sum is kept without communication between entries.

Requests of one customer that fail wherever they run must not use up the budget:
others would then not be retried after the loss of a server.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on retries set by the operators.

    Attributes:
      ratio: Retries allowed per request.
      slack: Retries allowed per window in addition.
      window_s: Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


# Fraction of the slack that all entries use together, and the number of entries
# assumed until it is reported.
_SLACK_SHARE = 0.7
_ASSUMED_ENTRIES = 50
# Requests expire from the window slightly earlier than the retries they allow,
# so that a late count never allows too many.
_RATIO_SHARE = 0.9
# Fraction of the budget that one of several customers may use, or the fraction
# of the requests that are its own if that is more.
_CUSTOMER_SHARE = 0.5


class _Window:
    """Times of events, with counts by customer."""

    def __init__(self) -> None:
        self._events: collections.deque[tuple[float, str]] = collections.deque()
        self.by_customer: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._events)

    def add(self, now: float, customer: str) -> None:
        self._events.append((now, customer))
        self.by_customer[customer] += 1

    def remove_newest(self, customer: str) -> None:
        for index in reversed(range(len(self._events))):
            if self._events[index][1] == customer:
                del self._events[index]
                self._subtract(customer)
                return

    def expire(self, start: float) -> None:
        while self._events and self._events[0][0] < start:
            self._subtract(self._events.popleft()[1])

    def _subtract(self, customer: str) -> None:
        self.by_customer[customer] -= 1
        if not self.by_customer[customer]:
            del self.by_customer[customer]


class RetryBudget:
    """Limits the retries of one service."""

    def __init__(self, limits: Limits):
        self.limits = limits
        self._requests = _Window()
        self._retries = _Window()
        self.entries = 0

    def record_request(self, now: float, customer: str = "") -> None:
        """Counts a request of a customer's caller."""
        self._requests.add(now, customer)
        self._expire(now)

    def allows(self, now: float, customer: str = "") -> bool:
        """Returns whether a retry for a customer is within the budget."""
        self._expire(now)
        allowed = len(self._requests) * self.limits.ratio * _RATIO_SHARE
        slack = self.limits.slack * _SLACK_SHARE
        limit = allowed + slack / (self.entries or _ASSUMED_ENTRIES)
        if len(self._retries) + 1 > limit:
            return False
        used = self._retries.by_customer[customer]
        return not used or used + 1 <= limit * self._customer_share(customer)

    def try_acquire(self, now: float, customer: str = "") -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if not self.allows(now, customer):
            return False
        self._retries.add(now, customer)
        return True

    def refund(self, customer: str = "") -> None:
        """Removes a customer's newest retry: it was not sent."""
        self._retries.remove_newest(customer)

    def state(self, now: float) -> dict[str, float]:
        """Returns the log fields of the budget.

        Args:
          now: Monotonic seconds.
        """
        self._expire(now)
        return {
            "requests": len(self._requests),
            "retries": len(self._retries),
            "entries": self.entries,
        }

    def _customer_share(self, customer: str) -> float:
        """Returns the fraction of the budget that a customer may use."""
        if len(self._requests.by_customer) < 2:
            return 1.0
        own = self._requests.by_customer[customer] / len(self._requests)
        return max(_CUSTOMER_SHARE, own)

    def _expire(self, now: float) -> None:
        start = now - self.limits.window_s
        self._requests.expire(start)
        self._retries.expire(start)
