"""Retry budget of an entry.

The limit applies to the sum over all entries. Each entry uses the ratio for its
own requests, and a share of the slack according to the number of entries that
agents report. So the sum is kept without communication between entries.
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


class RetryBudget:
    """Limits the retries of one service."""

    def __init__(self, limits: Limits):
        self.limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self.entries = 0

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Returns whether a retry is within the budget."""
        self._expire(now)
        allowed = len(self._requests) * self.limits.ratio * _RATIO_SHARE
        slack = self.limits.slack * _SLACK_SHARE
        limit = allowed + slack / (self.entries or _ASSUMED_ENTRIES)
        return len(self._retries) + 1 <= limit

    def try_acquire(self, now: float) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if not self.allows(now):
            return False
        self._retries.append(now)
        return True

    def refund(self) -> None:
        """Removes the newest retry from the count: it was not sent."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now: float) -> None:
        start = now - self.limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
