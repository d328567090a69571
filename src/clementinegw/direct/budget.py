"""Retry budget of an entry.

The limit applies to the sum over all entries in any window. Each entry earns
retries with its own requests, and a share of the slack over time according to
the number of entries that agents report. So the sum is kept without
communication between entries.

What an entry has earned and not used is capped, and a process starts with next
to nothing: it does not know how much its predecessor, or an entry whose callers
it takes over, has used in the same window. What can be used in a window is what
was saved at its begin, what is earned in it, and what starts in it bring.

A retry that no server has answered may arrive in a later window than the one
that it was sent in. So it takes up room in the cap until it is known to have
arrived, or for some seconds after it was given up.

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


# Fractions of the allowed retries that are earned in a window, that may be
# saved, and that processes have from their start. Those of the ratio, and those
# of the slack, add up to less than 1, since retries reach servers later than
# they are counted.
_EARNED_RATIO_SHARE = 0.6
_SAVED_RATIO_SHARE = 0.35
_EARNED_SLACK_SHARE = 0.3
_SAVED_SLACK_SHARE = 0.35
_INITIAL_SLACK_SHARE = 0.3
# Number of entries assumed until it is reported: the largest fleet.
_ASSUMED_ENTRIES = 320
# Number of starts in a window that may share the initial slack, and the most
# retries that a start brings, which bounds them in a larger fleet.
_ASSUMED_STARTS = 30
_MAX_INITIAL_RETRIES = 1.0
# For how long a retry that was given up may be held by a link or by a server
# that stands still, in seconds.
_LATE_ARRIVAL_S = 4.0
# Fraction of the saved retries that one of several customers may use, or the
# fraction of the requests that are its own if that is more.
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


@dataclasses.dataclass(slots=True, eq=False)
class Charge:
    """A retry that was counted; it is settled once."""

    _budget: "RetryBudget"
    _customer: str
    _settled: bool = False

    def refund(self) -> None:
        """Removes the retry: it was not sent."""
        if self._settle():
            self._budget.remove_retry(self._customer)

    def confirm(self) -> None:
        """Records that the retry has arrived at a server."""
        if self._settle():
            self._budget.unanswered -= 1

    def abandon(self, now: float) -> None:
        """Records that the retry was given up and may arrive later."""
        if self._settle():
            self._budget.expect_late_arrival(now)

    def _settle(self) -> bool:
        """Returns whether the charge was not settled yet."""
        settled, self._settled = self._settled, True
        return not settled


class RetryBudget:
    """Limits the retries of one service.

    Attributes:
      limits: What the operators allow.
      entries: Number of entries that share the slack; 0 if unknown.
      unanswered: Number of retries that may still arrive at a server.
    """

    def __init__(self, limits: Limits):
        self.limits = limits
        self.entries = 0
        self.unanswered = 0
        self._abandoned: collections.deque[float] = collections.deque()
        self._requests = _Window()
        self._retries = _Window()
        self._saved = self._initial
        self._updated_at: float | None = None

    @property
    def _capacity(self) -> float:
        """The most retries that may be saved."""
        requests = len(self._requests)
        saved = requests * self.limits.ratio * _SAVED_RATIO_SHARE
        saved += self._own_slack * _SAVED_SLACK_SHARE
        return saved if self.entries else max(saved, self._initial)

    @property
    def _initial(self) -> float:
        """Retries that a process has from its start."""
        initial = self.limits.slack * _INITIAL_SLACK_SHARE / _ASSUMED_STARTS
        return min(initial, _MAX_INITIAL_RETRIES)

    @property
    def _own_slack(self) -> float:
        """This entry's share of the slack, in retries per window."""
        return self.limits.slack / (self.entries or _ASSUMED_ENTRIES)

    def record_request(self, now: float, customer: str = "") -> None:
        """Counts a request of a customer's caller."""
        self._requests.add(now, customer)
        self._earn(now, self.limits.ratio * _EARNED_RATIO_SHARE)

    def allows(self, now: float, customer: str = "") -> bool:
        """Returns whether a retry for a customer is within the budget."""
        self._earn(now)
        if self._saved < 1.0:
            return False
        used = self._retries.by_customer[customer]
        share = self._customer_share(customer)
        if not used or used + 1 <= share * self._capacity:
            return True
        return self._saved - 1.0 >= (1.0 - share) * self._capacity

    def try_acquire(self, now: float, customer: str = "") -> Charge | None:
        """Counts a retry if the budget allows it; returns its charge."""
        if not self.allows(now, customer):
            return None
        self._saved -= 1.0
        self._retries.add(now, customer)
        self.unanswered += 1
        return Charge(self, customer)

    def remove_retry(self, customer: str) -> None:
        """Removes a customer's newest retry."""
        self._saved += 1.0
        self.unanswered -= 1
        self._retries.remove_newest(customer)

    def expect_late_arrival(self, now: float) -> None:
        """Counts a retry as unanswered for as long as it may arrive."""
        self._abandoned.append(now)

    def state(self, now: float) -> dict[str, float]:
        """Returns the log fields of the budget.

        Args:
          now: Monotonic seconds.
        """
        self._earn(now)
        return {
            "requests": len(self._requests),
            "retries": len(self._retries),
            "saved": round(self._saved, 1),
            "unanswered": self.unanswered,
            "entries": self.entries,
        }

    def _customer_share(self, customer: str) -> float:
        """Returns the fraction of the budget that a customer may use."""
        if len(self._requests.by_customer) < 2:
            return 1.0
        own = self._requests.by_customer[customer] / len(self._requests)
        return max(_CUSTOMER_SHARE, own)

    def _earn(self, now: float, retries: float = 0.0) -> None:
        """Adds retries, and those earned since the last call, up to the cap."""
        start = now - self.limits.window_s
        self._requests.expire(start)
        self._retries.expire(start)
        while self._abandoned and self._abandoned[0] < now - _LATE_ARRIVAL_S:
            self._abandoned.popleft()
            self.unanswered -= 1
        if self._updated_at is not None:
            windows = (now - self._updated_at) / self.limits.window_s
            retries += windows * self._own_slack * _EARNED_SLACK_SHARE
        self._updated_at = now
        capacity = self._capacity
        room = max(0.0, capacity - self.unanswered)
        self._saved = min(room, self._saved + retries)
