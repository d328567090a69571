"""Pauses after failures in a row."""

import random

from clementinegw.platform import retries as retry_lib
from clementinegw.weights import _loader_types

# Beyond these the longest pause is reached, and powers of two overflow.
_MAX_DOUBLINGS = 16


class RetryDelay:
    """When the next load may be tried, and why not sooner."""

    def __init__(self, retries: retry_lib.RetryPolicy, rng: random.Random):
        """Starts without a failure.

        Args:
          retries: The pauses.
          rng: Their jitter.
        """
        self._retries = retries
        self._rng = rng
        self._failures = 0
        self._until = 0.0
        self._reason = _loader_types.Reason.NONE

    @property
    def until(self) -> float:
        """When the pause ends, monotonic seconds."""
        return self._until

    @property
    def reason(self) -> _loader_types.Reason:
        """The newest failure."""
        return self._reason

    def active(self, now: float) -> bool:
        """Returns whether the pause goes on."""
        return now < self._until

    def record_failure(self, now: float, reason: _loader_types.Reason) -> None:
        """Begins a pause, longer than the one before."""
        self._failures += 1
        self._reason = reason
        attempts = min(self._failures, _MAX_DOUBLINGS)
        self._until = now + self._retries.pause_s(attempts, self._rng)

    def clear(self) -> None:
        """Ends the pause and forgets the failures."""
        self._failures = 0
        self._until = 0.0
