"""Whether a request is sent again, and when.

A request is repeated when nothing has been handed over, which takes proof, or
when it is idempotent. Everything else ends with the outcome it has.
"""

import dataclasses
import enum
import random

from clementinegw import types
from clementinegw.requests import rules as rules_lib

# Repetitions allowed before any traffic has earned some.
_DEFAULT_MAX_RETRIES = 10.0
# A worker that is merely full or leaving has done nothing wrong; the entry
# looks for another at once.
_IMMEDIATE_RETRY_DETAILS = frozenset(
    {"leaving", "not_connected", "not_ready", "loading", "wrong_version"}
)
# Stands for the agent's word when no agent was asked.
NO_WORKER = "no_worker"
# Nothing that another worker could do better.
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
    """Why a request is not sent again. Counters `requests.no_retry.REASON`."""

    FINAL = "final"
    NOT_IDEMPOTENT = "not_idempotent"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Send it again.

    Attributes:
      after_s: How long to wait first, in seconds.
      reason: Why the attempt before ended; counter `requests.retry.REASON`.
    """

    after_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """The outcome stands.

    Attributes:
      stop: Why it is not sent again.
    """

    reason: StopReason


Decision = Retry | GiveUp


class RetryBudget:
    """Allows repetitions as a share of first attempts.

    When a service fails as a whole, repetitions would multiply its load by the
    number of attempts just when it can bear it least; one would notice it as an
    overload that outlives its cause.
    """

    def __init__(self, max_retries: float = _DEFAULT_MAX_RETRIES):
        """Starts full.

        Args:
          max_retries: Repetitions that may come at once.
        """
        self._max_retries = max_retries
        self._available = max_retries

    def record_request(self, ratio: float) -> None:
        """Notes a first attempt."""
        self._available = min(self._max_retries, self._available + ratio)

    def try_acquire(self) -> bool:
        """Takes one repetition; False when none is left."""
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
    """Decides after an attempt that was not answered.

    Args:
      outcome: How it ended.
      detail: The agent's own word for why.
      idempotent: Whether the request may run more than once.
      attempt: The number of the attempt, from 1.
      remaining_s: Seconds until the deadline.
      rules: The settings.
      budget: Repetitions that are left.
      rng: Spreads the waits.

    Returns:
      Whether and when to send it again.
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
    # A worker that could not take it has not been burdened either.
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
        # The entry's own queue refused it; to queue again would only hold
        # back the refusal.
        return StopReason.FINAL
    reason = _reason(outcome)
    if reason in _FINAL_NOT_RUN or reason in _FINAL_UNKNOWN:
        return StopReason.FINAL
    if isinstance(outcome, types.Unknown) and not idempotent:
        # It may have run. A second run could book twice.
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
