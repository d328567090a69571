"""Rate and token limits of customers, shared by all entries.

Each entry holds a token bucket with its share of the customer's rate. Shares
follow demand: see `shares`. The sum of the shares is one while the entries
agree on the demand, so a customer gets its limit whichever entries the balancer
sends it to.
"""

import dataclasses
import math

from clementinegw import types
from clementinegw.requests import rules as rules_lib
from clementinegw.requests import shares as shares_lib

_MAX_RETRY_S = 60.0
_MAX_BUCKETS = 10_000


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket.

    Attributes:
      level: What may be taken now; negative after an underestimate.
      refilled_at: When the level was last brought up to date.
    """

    level: float
    refilled_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Adds what has come in since the last time."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.level = min(burst, self.level + rate * elapsed_s)
        self.refilled_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The request exceeds a limit.

    Attributes:
      reason: Which kind.
      retry_after_s: When there is room for it again, in seconds.
    """

    reason: types.NotRunReason
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class _Usage:
    requests: TokenBucket
    tokens: TokenBucket
    running: int = 0


class Limiter:
    """The limits of all customers at one entry."""

    def __init__(self, shares: shares_lib.Shares):
        """Prepares the limiter.

        Args:
          shares: Says which part of a limit this entry may use.
        """
        self._shares = shares
        self._usage: dict[tuple[str, str], _Usage] = {}

    def try_acquire(
        self, rules: rules_lib.Rules, customer: str, tokens: int, now: float
    ) -> LimitExceeded | None:
        """Charges a request to its customer.

        Args:
          rules: The customer's limits.
          customer: The customer.
          tokens: Tokens that the request may take, prompt and answer.
          now: Monotonic seconds.

        Returns:
          None when it is within the limits; `release` must follow then.
        """
        key = (rules.service, customer)
        self._shares.record_request(key, tokens, now)
        share = self._shares.share(key, now)
        usage = self._usage_of(key, rules, share, now)
        if usage.running >= rules.max_concurrent:
            return LimitExceeded(types.NotRunReason.RATE_LIMITED, 1.0)
        for bucket, rate, reason in (
            (
                usage.requests,
                rules.requests_per_s,
                types.NotRunReason.RATE_LIMITED,
            ),
            (
                usage.tokens,
                rules.tokens_per_s,
                types.NotRunReason.TOKEN_LIMITED,
            ),
        ):
            exceeded = _check_bucket(
                bucket, rate * share, rules.burst_s, reason, now
            )
            if exceeded is not None:
                return exceeded
        usage.requests.level -= 1
        usage.tokens.level -= tokens
        usage.running += 1
        return None

    def release(
        self,
        rules: rules_lib.Rules,
        customer: str,
        charged: int,
        used: int,
        ran: bool,
    ) -> None:
        """Gives back what a request did not use.

        Args:
          rules: The customer's limits.
          customer: The customer.
          charged: Tokens that `try_acquire` was told.
          used: Tokens that it took in the end.
          ran: Whether it may have run; one that did not is free.
        """
        usage = self._usage.get((rules.service, customer))
        if usage is None:
            return
        usage.running = max(0, usage.running - 1)
        usage.tokens.level += charged - (used if ran else 0)
        if not ran:
            usage.requests.level += 1

    def _usage_of(
        self,
        key: tuple[str, str],
        rules: rules_lib.Rules,
        share: float,
        now: float,
    ) -> _Usage:
        usage = self._usage.get(key)
        if usage is None:
            if len(self._usage) >= _MAX_BUCKETS:
                self._drop_idle()
            usage = _Usage(
                TokenBucket(
                    _burst_size(rules.requests_per_s * share, rules), now
                ),
                TokenBucket(
                    _burst_size(rules.tokens_per_s * share, rules), now
                ),
            )
            self._usage[key] = usage
        return usage

    def _drop_idle(self) -> None:
        self._usage = {k: u for k, u in self._usage.items() if u.running}


def _burst_size(rate: float, rules: rules_lib.Rules) -> float:
    return max(1.0, rate * rules.burst_s)


def _check_bucket(
    bucket: TokenBucket,
    rate: float,
    burst_s: float,
    reason: types.NotRunReason,
    now: float,
) -> LimitExceeded | None:
    """Lets a request pass while the level is above zero.

    The level may then fall below zero: a request that takes more tokens than
    the whole burst must pass some time, and is paid for afterwards.
    """
    if math.isinf(rate):
        bucket.level = math.inf
        return None
    bucket.refill(rate, max(1.0, rate * burst_s), now)
    needed = 1.0 if reason is types.NotRunReason.RATE_LIMITED else 0.0
    if bucket.level >= needed and rate > 0:
        return None
    missing = needed - bucket.level
    after_s = missing / rate if rate > 0 else _MAX_RETRY_S
    return LimitExceeded(reason, min(_MAX_RETRY_S, max(0.05, after_s)))
