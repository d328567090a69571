"""Bounds repeated sends of one entry, so that all entries keep the limit.

The limit holds for the sum over all entries. Each keeps to its own requests'
part of the ratio and to its part of the slack, by the number of entries that
agents tell; so the sum holds without a word between entries.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the operators allow.

    Attributes:
      ratio: Repeated sends for each request.
      slack: Repeated sends in a window besides those.
      window_s: The window's length, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


# The part of the slack that all entries take together, and for how many
# entries it is shared while nobody has told their number.
_SLACK_SHARE = 0.7
_ASSUMED_ENTRIES = 50
# Requests stay in the window that they are counted in a little shorter than
# the sends that they pay for, so that a late count never allows too much.
_RATIO_SHARE = 0.9


class RetryBudget:
    """The repeated sends of one service."""

    def __init__(self, limits: Limits):
        self.limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self.entries = 0

    def record_request(self, now: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float) -> bool:
        """Counts one repeated send; False when it is over the limit."""
        self._expire(now)
        earned = len(self._requests) * self.limits.ratio * _RATIO_SHARE
        slack = self.limits.slack * _SLACK_SHARE
        limit = earned + slack / (self.entries or _ASSUMED_ENTRIES)
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        start = now - self.limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
