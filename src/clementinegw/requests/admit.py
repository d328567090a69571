"""Which requests an entry takes in, and how long they may wait.

A request waits at the entry until a worker has room. Whoever cannot be served
in time is refused at once, with the time after which to come again: that costs
little, and the work that is taken in gets done.
"""

import dataclasses
import random

from clementinegw import types
from clementinegw.requests import fair_queue

# Allowed queueing delay by priority, in multiples of the target.
_MAX_DELAY_RATIOS = {
    types.Priority.LOW: 2.0,
    types.Priority.NORMAL: 4.0,
    types.Priority.HIGH: 20.0,
}
# Where requests run long, a wait is short in proportion to them.
_RUN_TIME_RATIO = 0.1
_SMOOTHING_FACTOR = 0.05
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The request is refused now.

    Attributes:
      reason: Why.
      retry_after_s: When to come again, in seconds.
    """

    reason: types.NotRunReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """What the settings allow.

    Attributes:
      max_queue: Requests that may wait.
      target_s: The queueing delay from which low priorities are refused.
      interval_s: How long the delay must exceed it.
    """

    max_queue: int = 256
    target_s: float = 0.1
    interval_s: float = 0.5


class Admission:
    """Decides who may join the queue of one service, and who must leave it."""

    def __init__(self, queue: fair_queue.FairQueue, rng: random.Random):
        """Starts without knowledge of how long requests run.

        Args:
          queue: The requests that wait.
          rng: Spreads the times at which refused callers come again.
        """
        self._queue = queue
        self._rng = rng
        self._mean_run_s = 0.0
        self._running = 0.0
        self._delayed_since: dict[tuple[str, types.Priority], float] = {}

    @property
    def mean_run_s(self) -> float:
        """The smoothed time that a mean request takes once it is sent."""
        return self._mean_run_s

    def check_arrival(
        self, ticket: fair_queue.Ticket, limits: AdmissionLimits, now: float
    ) -> Rejection | None:
        """Decides on a request that has just come.

        Returns:
          None when it may join the queue.
        """
        slack_s = ticket.deadline - now - self._mean_run_s * ticket.cost
        if ticket.deadline <= now:
            return Rejection(types.NotRunReason.DEADLINE, _MIN_RETRY_S)
        if not len(self._queue):
            self._delayed_since.clear()
            return None
        wait_s = max(
            self.predicted_wait_s(ticket), self._queue.head_wait_s(ticket, now)
        )
        if wait_s > max(0.0, slack_s):
            return self._reject(types.NotRunReason.DEADLINE, wait_s)
        max_delay_s = self.max_delay_s(ticket.priority, limits)
        key = (ticket.customer, ticket.priority)
        if wait_s <= max_delay_s:
            self._delayed_since.pop(key, None)
            return None
        since = self._delayed_since.setdefault(key, now)
        if now - since < limits.interval_s:
            return None
        return self._reject(types.NotRunReason.OVERLOADED, wait_s - max_delay_s)

    def check_waiting(
        self, ticket: fair_queue.Ticket, limits: AdmissionLimits, now: float
    ) -> Rejection | None:
        """Decides on a request that waits.

        One that turns out to wait far longer than was foreseen is told so now:
        to hold it until its deadline would only hide the refusal.
        """
        if now + self._mean_run_s * ticket.cost * 0.5 >= ticket.deadline:
            return self._reject(types.NotRunReason.DEADLINE, self._mean_run_s)
        waited_s = now - ticket.queued_at
        max_delay_s = self.max_delay_s(ticket.priority, limits)
        if waited_s <= max_delay_s + limits.interval_s:
            return None
        return self._reject(types.NotRunReason.OVERLOADED, waited_s)

    def queue_full_rejection(self) -> Rejection:
        """Returns the refusal of a request that a full queue gives up."""
        wait_s = len(self._queue) * self._mean_run_s / max(1.0, self._running)
        return self._reject(types.NotRunReason.OVERLOADED, wait_s)

    def max_delay_s(
        self, priority: types.Priority, limits: AdmissionLimits
    ) -> float:
        """Returns the queueing delay that a priority may meet, in seconds."""
        unit_s = max(limits.target_s, _RUN_TIME_RATIO * self._mean_run_s)
        return _MAX_DELAY_RATIOS[priority] * unit_s

    def predicted_wait_s(self, ticket: fair_queue.Ticket) -> float:
        """Returns how long a new request would wait, in seconds.

        Little's law: work leaves at the rate of what runs over its time.
        """
        cost_ahead = self._queue.cost_ahead(ticket)
        return cost_ahead * self._mean_run_s / max(1.0, self._running)

    def record_started(self, ticket: fair_queue.Ticket) -> None:
        """Notes that a request was sent to a worker."""
        self._running += ticket.cost

    def record_ended(
        self, ticket: fair_queue.Ticket, run_s: float | None
    ) -> None:
        """Notes that a request left its worker.

        Args:
          ticket: Its ticket.
          run_s: How long it took; None when it was not answered.
        """
        self._running = max(0.0, self._running - ticket.cost)
        if run_s is None:
            return
        weight = _SMOOTHING_FACTOR if self._mean_run_s else 1.0
        self._mean_run_s += weight * (run_s / ticket.cost - self._mean_run_s)

    def _reject(self, reason: types.NotRunReason, excess_s: float) -> Rejection:
        spread = 1.0 + self._rng.random()
        after_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, excess_s))
        return Rejection(reason, after_s * spread)
