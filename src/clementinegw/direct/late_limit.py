"""What part of a server's slots requests may take that are late already.

The load that this answers: a burst that is over, and a backlog that is not.
What was turned away comes back, too late to be on time, and fills the engines;
those who come new find no slot, are late in turn, and come back as well. So the
part that late ones take gives way.

How many slots those who come new will need is not known, so it is found out:
the part shrinks while any of them finds no room in time, and grows while all
find some.
"""

# What is left of the part after a new request has found no room, and what each
# one that found room at once adds: it halves within five misses, and ten
# requests that come in time make one miss good.
_DECREASE_FACTOR = 0.85
_INCREASE = 0.012
# One that waited no longer than this found room at once, in seconds: a look or
# two of the queue.
_MAX_IMMEDIATE_WAIT_S = 0.05


class LateLimit:
    """The part of the slots that late requests may take."""

    def __init__(self, low: float, high: float):
        """Starts at `high`: nobody has missed anything yet.

        Args:
          low: The part that they may always take. Who is late must not wait
            for ever while others come.
          high: The most that they may take.
        """
        self._low = low
        self._high = high
        self._limit = high

    @property
    def limit(self) -> float:
        """Servers with less of their slots taken take a late request."""
        return self._limit

    def record_placed(self, waited_s: float) -> None:
        """Notes that a request which could be on time was sent."""
        if waited_s <= _MAX_IMMEDIATE_WAIT_S:
            self._limit = min(self._high, self._limit + _INCREASE)

    def record_miss(self) -> None:
        """Notes that one which could be on time found no room until then."""
        self._limit = max(self._low, self._limit * _DECREASE_FACTOR)
