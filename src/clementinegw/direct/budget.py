"""Bounds repeated sends of one entry, so that all entries keep the limit.

The limit holds for the sum over all entries. Each keeps to its own requests'
part of the ratio and to its part of the slack, by the number of entries that
agents tell; so the sum holds without a word between entries.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
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
_MOST_ENTRIES = 50
# Requests stay in the window that they are counted in a little shorter than
# the sends that they pay for, so that a late count never allows too much.
_RATIO_SHARE = 0.9


class RetryBudget:
    """The repeated sends of one service."""

    def __init__(self, terms: Terms):
        self.terms = terms
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()
        self.entries = 0

    def request(self, now: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def allow(self, now: float) -> bool:
        """Counts one repeated send; False when it is over the limit."""
        self._forget(now)
        earned = len(self._requests) * self.terms.ratio * _RATIO_SHARE
        slack = self.terms.slack * _SLACK_SHARE
        limit = earned + slack / (self.entries or _MOST_ENTRIES)
        if len(self._repeats) + 1 > limit:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        start = now - self.terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < start:
                times.popleft()
