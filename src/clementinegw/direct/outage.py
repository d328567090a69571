"""How long the platform gave no answer: what its list is worth after that."""

from collections.abc import Callable
import dataclasses
import math

# What a server that vanished during an outage of the platform is believed to
# be missing after, counted from the platform's return: listings that ran out
# meanwhile are back by then. Seconds.
_RELIST_S = 2.2
# The part of the time to drain that this may take. The rest is for a return
# that was noticed late, for the pause between two readings, and for a
# connection that comes up slowly.
_RELIST_SHARE = 0.9
# Where so large a part of the list is gone after the platform was away, the
# listings ran out; a few that are gone have left, and got requests for seconds
# after a cut of this machine alone.
_MASS_EXPIRY_SHARE = 0.5
# A call that failed this much after its wait was over had hung, in seconds: a
# platform that is there answers within half of that when it is slow.
_HANG_S = 0.4
# A failure so soon after an answer belongs to the outage before it, in
# seconds: an outage may end in fits.
_SAME_OUTAGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListingTimes:
    """How long a server that the platform no longer lists is believed in.

    Attributes:
      drain_s: A server that leaves gets its last request within this, in
        seconds.
      renewal_s: How often servers renew their listings, about, in seconds.
    """

    drain_s: float = math.inf
    renewal_s: float = 0.0

    @property
    def relist_s(self) -> float:
        """How long after the platform's return a listing may be missing."""
        return min(_RELIST_S, _RELIST_SHARE * self.drain_s)


class ListingExpiry:
    """Tells listings that ran out in an outage from servers that left."""

    def __init__(self, times: ListingTimes):
        self.times = times
        self._missing: set[str] = set()

    def likely_expired(
        self,
        missing: set[str],
        listed: set[str],
        remaining_s: float,
        outage_s: float,
    ) -> bool:
        """Returns whether servers are still to be believed in.

        Args:
          missing: The ids that are no longer listed.
          listed: All ids that were.
          remaining_s: How long listings may still be missing after an outage.
          outage_s: How long the platform gave no answer.
        """
        if remaining_s <= 0.0:
            self._missing.clear()
            return False
        # A listing outlives more than one interval without news. What was
        # missing after a shorter silence, of one connection perhaps, was taken
        # out by its server; held all the same, it got requests after its last
        # time.
        if outage_s < self.times.renewal_s:
            return False
        self._missing |= missing & listed
        return len(self._missing) >= _MASS_EXPIRY_SHARE * len(
            listed | self._missing
        )


class OutageTracker:
    """Knows how long the platform gave no answer.

    A connection that breaks and an answer that is lost look alike to who asks,
    and neither tells an outage of the platform from a fault of one connection.
    The time without any answer does: a listing that ran out for want of its
    server's news takes longer than one such interval.
    """

    def __init__(self, clock: Callable[[], float]):
        """Has seen no outage.

        Args:
          clock: Seconds that also count while the machine is suspended.
        """
        self._clock = clock
        self._outage_since: float | None = None
        self._outage_began_at = 0.0
        self._returned_at: float | None = None
        self._outage_s = 0.0

    @property
    def outage_s(self) -> float:
        """How long the last outage may have lasted, in seconds."""
        return self._outage_s

    def record_failure(self, asked_at: float, wait_s: float) -> None:
        """Notes a call without an answer.

        Args:
          asked_at: When it was made, in seconds.
          wait_s: How long the platform might have waited, in seconds.
        """
        if self._outage_since is not None:
            return
        now = self._clock()
        returned_at = self._returned_at
        if returned_at is not None and now - returned_at < _SAME_OUTAGE_S:
            self._outage_since = self._outage_began_at
        elif now - asked_at > wait_s + _HANG_S:
            self._outage_since = asked_at
        else:
            self._outage_since = now
        self._outage_began_at = self._outage_since

    def record_answer(self) -> None:
        """Notes an answer, also one that says that history is lost."""
        if self._outage_since is None:
            return
        now = self._clock()
        self._outage_s = now - self._outage_since
        self._outage_since = None
        self._returned_at = now
