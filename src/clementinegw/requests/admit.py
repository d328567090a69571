"""Admission control: which requests an entry accepts and how long they wait.

Accepted requests wait at the entry until a worker has capacity. A request that
cannot be served in time is rejected immediately with a time to retry after.
Rejections are cheap, so the capacity goes to the accepted requests.
"""

import dataclasses
import random

from clementinegw import types
from clementinegw.requests import fair_queue

# Maximum queueing delay by priority, as a multiple of the target or of a share
# of the mean run time, whichever is longer.
_MAX_DELAY_RATIOS = {
    types.Priority.LOW: 2.0,
    types.Priority.NORMAL: 4.0,
    types.Priority.HIGH: 20.0,
}
# A wait of this share of the mean run time is acceptable if requests run long.
_RUN_TIME_RATIO = 0.1
_SMOOTHING_FACTOR = 0.05
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Rejection of a request.

    Attributes:
      reason: Why the request is rejected.
      retry_after_s: After how long the caller should retry, in seconds.
    """

    reason: types.NotRunReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits on the queue of a service, from the settings.

    Attributes:
      max_queue: The maximum number of queued requests.
      target_s: The target for the queueing delay, in seconds. The maximum delay
        of each priority is a multiple of it.
      interval_s: How long the delay must exceed the maximum before requests are
        rejected, in seconds.
    """

    max_queue: int = 256
    target_s: float = 0.1
    interval_s: float = 0.5


class Admission:
    """Decides which requests may join and stay in the queue of one service."""

    def __init__(self, queue: fair_queue.FairQueue, rng: random.Random):
        """Starts without an estimate of the run time.

        Args:
          queue: The queued requests.
          rng: Randomizes the times after which rejected callers retry.
        """
        self._queue = queue
        self._rng = rng
        self._mean_run_s = 0.0
        self._running = 0.0
        self._delayed_since: dict[tuple[str, types.Priority], float] = {}

    @property
    def mean_run_s(self) -> float:
        """The smoothed run time of a request of mean cost, in seconds."""
        return self._mean_run_s

    def check_arrival(
        self, ticket: fair_queue.Ticket, limits: AdmissionLimits, now: float
    ) -> Rejection | None:
        """Returns the rejection of a new request; None if it may be queued.

        Args:
          ticket: The ticket of the request.
          limits: The limits on the queue.
          now: The current time, in monotonic seconds.
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
        delayed_since = self._delayed_since.setdefault(key, now)
        if now - delayed_since < limits.interval_s:
            return None
        return self._reject(types.NotRunReason.OVERLOADED, wait_s - max_delay_s)

    def check_waiting(
        self, ticket: fair_queue.Ticket, limits: AdmissionLimits, now: float
    ) -> Rejection | None:
        """Returns the rejection of a queued request; None if it may wait.

        A request that waits much longer than predicted is rejected now. If it
        were held until its deadline, its caller would learn too late that it
        should have retried elsewhere.

        Args:
          ticket: The ticket of the request.
          limits: The limits on the queue.
          now: The current time, in monotonic seconds.
        """
        if now + self._mean_run_s * ticket.cost * 0.5 >= ticket.deadline:
            return self._reject(types.NotRunReason.DEADLINE, self._mean_run_s)
        waited_s = now - ticket.queued_at
        max_delay_s = self.max_delay_s(ticket.priority, limits)
        if waited_s <= max_delay_s + limits.interval_s:
            return None
        return self._reject(types.NotRunReason.OVERLOADED, waited_s)

    def queue_full_rejection(self) -> Rejection:
        """Returns the rejection of a request that a full queue drops."""
        wait_s = len(self._queue) * self._mean_run_s / max(1.0, self._running)
        return self._reject(types.NotRunReason.OVERLOADED, wait_s)

    def max_delay_s(
        self, priority: types.Priority, limits: AdmissionLimits
    ) -> float:
        """Returns the maximum queueing delay of a priority, in seconds."""
        unit_s = max(limits.target_s, _RUN_TIME_RATIO * self._mean_run_s)
        return _MAX_DELAY_RATIOS[priority] * unit_s

    def predicted_wait_s(self, ticket: fair_queue.Ticket) -> float:
        """Returns the predicted wait of a new request, in seconds.

        By Little's law, requests complete at the rate of the running cost
        divided by the mean run time.
        """
        cost_ahead = self._queue.cost_ahead(ticket)
        return cost_ahead * self._mean_run_s / max(1.0, self._running)

    def record_started(self, ticket: fair_queue.Ticket) -> None:
        """Records that a request was sent to a worker."""
        self._running += ticket.cost

    def record_ended(
        self, ticket: fair_queue.Ticket, run_s: float | None
    ) -> None:
        """Records that a request ended at its worker.

        Args:
          ticket: The ticket of the request.
          run_s: The run time, in seconds; None if it is not a valid sample.
        """
        self._running = max(0.0, self._running - ticket.cost)
        if run_s is None:
            return
        weight = _SMOOTHING_FACTOR if self._mean_run_s else 1.0
        self._mean_run_s += weight * (run_s / ticket.cost - self._mean_run_s)

    def _reject(self, reason: types.NotRunReason, excess_s: float) -> Rejection:
        jitter = 1.0 + self._rng.random()
        after_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, excess_s))
        return Rejection(reason, after_s * jitter)
