"""Rate and token limits of customers, shared by all entries.

Each entry has token buckets with its share of the customer's rates. The shares
follow the demand; see `shares`. They add up to one while the entries agree on
the demand, so a customer gets its whole limit whichever entries the load
balancer chooses.
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
      level: The number of tokens available; negative after an underestimate.
      refilled_at: When it was last refilled, in monotonic seconds.
    """

    level: float
    refilled_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Adds the tokens for the time since the last refill.

        Args:
          rate: Tokens added per second.
          burst: The maximum level.
          now: The current time, in monotonic seconds.
        """
        elapsed_s = max(0.0, now - self.refilled_at)
        self.level = min(burst, self.level + rate * elapsed_s)
        self.refilled_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The request exceeds a limit.

    Attributes:
      reason: Which limit it exceeds.
      retry_after_s: After how long the request would be within the limit, in
        seconds.
    """

    reason: types.NotRunReason
    retry_after_s: float


@dataclasses.dataclass(slots=True)
class _Usage:
    requests: TokenBucket
    tokens: TokenBucket
    running: int = 0


class Limiter:
    """Enforces the limits of all customers at one entry."""

    def __init__(self, shares: shares_lib.Shares):
        """Starts without any usage.

        Args:
          shares: Determines the share of a limit that this entry may use.
        """
        self._shares = shares
        self._usage: dict[tuple[str, str], _Usage] = {}

    def try_acquire(
        self, rules: rules_lib.Rules, customer: str, tokens: int, now: float
    ) -> LimitExceeded | None:
        """Charges a request to its customer if it is within the limits.

        Args:
          rules: The customer's limits.
          customer: The name of the customer.
          tokens: The maximum number of tokens of the prompt and the answer.
          now: The current time, in monotonic seconds.

        Returns:
          The exceeded limit; None if the request was charged, in which case
          `release` must be called when it ends.
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
        """Refunds what a request did not use.

        Args:
          rules: The customer's limits.
          customer: The name of the customer.
          charged: The number of tokens that `try_acquire` charged.
          used: The number of tokens that the request used.
          ran: Whether it may have run; otherwise everything is refunded.
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
    """Returns the exceeded limit; None if the bucket allows another request.

    The bucket of tokens allows requests while its level is at least zero, and
    the level may then become negative. Otherwise a request that needs more
    tokens than the whole burst would never be allowed.
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
