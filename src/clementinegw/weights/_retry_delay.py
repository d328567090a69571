"""Delays between retries after consecutive failures."""

import random

from clementinegw.platform import retries as retry_lib
from clementinegw.weights import _loader_types

# The longest delay is reached well before, and larger powers of two overflow.
_MAX_DOUBLINGS = 16


class RetryDelay:
    """When the next load may be tried, and the failure it is delayed by."""

    def __init__(self, retries: retry_lib.RetryPolicy, rng: random.Random):
        """Starts without failures.

        Args:
          retries: The delays.
          rng: Adds jitter to the delays.
        """
        self._retries = retries
        self._rng = rng
        self._failures = 0
        self._until = 0.0
        self._reason = _loader_types.Reason.NONE

    @property
    def until(self) -> float:
        """When the delay ends, in monotonic seconds."""
        return self._until

    @property
    def reason(self) -> _loader_types.Reason:
        """The reason of the latest failure."""
        return self._reason

    def active(self, now: float) -> bool:
        """Returns whether the delay has not ended yet."""
        return now < self._until

    def record_failure(self, now: float, reason: _loader_types.Reason) -> None:
        """Starts a delay, longer after each consecutive failure."""
        self._failures += 1
        self._reason = reason
        attempts = min(self._failures, _MAX_DOUBLINGS)
        self._until = now + self._retries.pause_s(attempts, self._rng)

    def clear(self) -> None:
        """Ends the delay and resets the count of failures."""
        self._failures = 0
        self._until = 0.0
