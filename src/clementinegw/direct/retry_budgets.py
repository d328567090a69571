"""Grants retries within the budget of each service; logs and counts them."""

from collections.abc import Callable
import math

from clementinegw.direct import _events
from clementinegw.direct import budget as budget_lib
from clementinegw.telemetry import counters as counters_lib
from clementinegw.telemetry import logs

# The shortest time between two log lines on the budget of a service, in
# seconds.
_LOG_INTERVAL_S = 1.0
# How often the entries are counted, which takes a pass over all servers, in
# seconds.
_COUNT_INTERVAL_S = 1.0


class RetryBudgets:
    """Grants retries to requests, within the budget of their service."""

    def __init__(
        self,
        limits: budget_lib.Limits,
        entries: Callable[[], int],
        clock: Callable[[], float],
        log: logs.Log,
        counters: counters_lib.Counters,
    ):
        """Starts without any service.

        Args:
          limits: What the operators allow of retries.
          entries: Returns how many entries share the budgets; 0 if unknown.
          clock: Returns monotonic seconds.
          log: Takes the state of a budget when it is used.
          counters: Count granted, refused and returned retries.
        """
        self._limits = limits
        self._count_entries = entries
        self._clock = clock
        self._log = log
        self._counters = counters
        self._budgets: dict[str, budget_lib.RetryBudget] = {}
        self._logged_at: dict[str, float] = {}
        self._started_at = clock()
        self._entries = 0
        self._counted_at = -math.inf

    def set_limits(self, limits: budget_lib.Limits) -> None:
        """Applies changed limits to all budgets."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def record_request(self, service: str, customer: str) -> None:
        """Counts a request of a customer's caller."""
        self._of(service).record_request(self._clock(), customer)

    def allows(self, service: str, customer: str) -> bool:
        """Returns whether a retry for a customer is within the budget."""
        return self._of(service).allows(self._clock(), customer)

    def try_acquire(
        self, service: str, customer: str
    ) -> budget_lib.Charge | None:
        """Counts a retry if the budget allows it; returns its charge."""
        charge = self._of(service).try_acquire(self._clock(), customer)
        result = "refused" if charge is None else "granted"
        self._counters.add(f"direct.retry.{result}")
        self._log_state(service)
        return charge

    def refund(self, charge: budget_lib.Charge) -> None:
        """Returns a retry to its budget: it was not sent."""
        charge.refund()
        self._counters.add("direct.retry.returned")

    def abandon(self, charge: budget_lib.Charge) -> None:
        """Records that a retry was given up and may arrive later."""
        charge.abandon(self._clock())

    def _of(self, service: str) -> budget_lib.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budget_lib.RetryBudget(self._limits)
            self._budgets[service] = budget
        now = self._clock()
        if now - self._counted_at >= _COUNT_INTERVAL_S:
            self._counted_at = now
            # Agents that have just started do not report it for a while.
            self._entries = self._count_entries() or self._entries
        budget.entries = self._entries
        return budget

    def _log_state(self, service: str) -> None:
        now = self._clock()
        if now - self._logged_at.get(service, -math.inf) < _LOG_INTERVAL_S:
            return
        self._logged_at[service] = now
        self._log.write(
            _events.RETRY_BUDGET,
            service=service,
            **self._of(service).state(now),
            up_s=round(now - self._started_at, 1),
        )
