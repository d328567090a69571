"""A token bucket that limits the rate of one kind of datagram."""


class TokenBucket:
    """Gains `rate` tokens a second, up to `burst`."""

    __slots__ = ("_burst", "_rate", "_tokens", "_updated")

    def __init__(self, rate: float, burst: float, now: float):
        """Creates a full bucket.

        Args:
          rate: Tokens a second.
          burst: The maximum number of tokens.
          now: Monotonic seconds.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = now

    def take(self, wanted: int, now: float) -> int:
        """Takes up to `wanted` tokens and returns how many it took."""
        grown = self._tokens + (now - self._updated) * self._rate
        self._tokens = min(self._burst, grown)
        self._updated = now
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken
