"""Decides whether and when a request is retried.

A request is retried if it provably was not handed to a backend server, or if it
is idempotent. Otherwise the outcome of the attempt is final.
"""

import dataclasses
import enum
import random

from clementinegw import types
from clementinegw.requests import rules as rules_lib

# Retries allowed before any request was recorded, and the maximum that can
# accumulate.
_DEFAULT_MAX_RETRIES = 10.0
# After these refusals the entry tries another worker without backoff, because
# the worker has not failed.
_IMMEDIATE_RETRY_DETAILS = frozenset(
    {"leaving", "not_connected", "not_ready", "loading", "wrong_version"}
)
# Used in place of an agent's reason if no worker was assigned.
NO_WORKER = "no_worker"
# Another worker would lead to the same outcome.
_FINAL_NOT_RUN = frozenset(
    {
        types.NotRunReason.DEADLINE,
        types.NotRunReason.SUSPECT,
        types.NotRunReason.CLAIM_LOST,
        types.NotRunReason.ALREADY_RUN,
        types.NotRunReason.KEY_EXPIRED,
        types.NotRunReason.KEY_REUSED,
        types.NotRunReason.BAD_REQUEST,
        types.NotRunReason.TOO_LARGE,
    }
)
_FINAL_UNKNOWN = frozenset({types.UnknownReason.DEADLINE})


class StopReason(enum.StrEnum):
    """Why a request is not retried.

    Each reason has a counter `requests.no_retry.REASON`.
    """

    FINAL = "final"
    NOT_IDEMPOTENT = "not_idempotent"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is to be retried.

    Attributes:
      after_s: How long to wait first, in seconds.
      reason: Why the last attempt ended. It has a counter
        `requests.retry.REASON`.
    """

    after_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The outcome of the last attempt is final.

    Attributes:
      reason: Why the request is not retried.
    """

    reason: StopReason


Decision = Retry | GiveUp


class RetryBudget:
    """Limits retries to a share of the requests.

    If a whole service fails, unlimited retries would multiply its load by the
    number of attempts. The symptom would be an overload that continues after
    its cause has ended.
    """

    def __init__(self, max_retries: float = _DEFAULT_MAX_RETRIES):
        """Starts with the maximum number of retries.

        Args:
          max_retries: The maximum number of retries that can accumulate.
        """
        self._max_retries = max_retries
        self._available = max_retries

    def record_request(self, ratio: float) -> None:
        """Adds the retries allowed for one more request.

        Args:
          ratio: Retries allowed per request.
        """
        self._available = min(self._max_retries, self._available + ratio)

    def try_acquire(self) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def decide(
    outcome: types.Outcome,
    detail: str,
    idempotent: bool,
    attempt: int,
    remaining_s: float,
    rules: rules_lib.Rules,
    budget: RetryBudget,
    rng: random.Random,
) -> Decision:
    """Decides on a retry after an attempt that was not answered.

    Args:
      outcome: The outcome of the attempt.
      detail: The agent's reason for the outcome.
      idempotent: Whether the request may run more than once.
      attempt: The number of the attempt, from 1.
      remaining_s: The time until the deadline, in seconds.
      rules: The settings that apply to the request.
      budget: The retry budget of the service.
      rng: Randomizes the backoff.

    Returns:
      Whether and when to retry.
    """
    stop = _stop_reason(outcome, detail, idempotent, attempt, rules)
    if stop is not None:
        return GiveUp(stop)
    after_s = 0.0
    if detail not in _IMMEDIATE_RETRY_DETAILS:
        max_backoff_s = min(rules.max_s, rules.base_s * 2 ** (attempt - 1))
        after_s = rng.uniform(0.0, max_backoff_s)
    if after_s >= remaining_s:
        return GiveUp(StopReason.DEADLINE)
    # Retries without backoff are not charged to the budget: the worker that
    # refused the request had no load from it.
    if detail not in _IMMEDIATE_RETRY_DETAILS and not budget.try_acquire():
        return GiveUp(StopReason.BUDGET)
    return Retry(after_s, detail or str(_reason(outcome)))


def _stop_reason(
    outcome: types.Outcome,
    detail: str,
    idempotent: bool,
    attempt: int,
    rules: rules_lib.Rules,
) -> StopReason | None:
    if detail == NO_WORKER:
        # The entry's own queue rejected it. Queueing it again would only delay
        # the rejection.
        return StopReason.FINAL
    reason = _reason(outcome)
    if reason in _FINAL_NOT_RUN or reason in _FINAL_UNKNOWN:
        return StopReason.FINAL
    if isinstance(outcome, types.Unknown) and not idempotent:
        # It may have run, and another run could repeat its effect.
        return StopReason.NOT_IDEMPOTENT
    if attempt >= rules.max_attempts:
        return StopReason.ATTEMPTS
    return None


def _reason(
    outcome: types.Outcome,
) -> types.NotRunReason | types.UnknownReason | None:
    if isinstance(outcome, types.Answered):
        return None
    return outcome.reason
