"""Measures outages of the platform and detects listings that they expired."""

from collections.abc import Callable
import dataclasses
import math

# How long after the platform's return a server that vanished from the list
# during the outage is kept, in seconds. Listings that expired in the meantime
# are back by then.
_RELIST_S = 2.2
# The share of the drain time that this may take. The rest covers a return that
# is noticed late, the pause between two polls, and a slow connection setup.
_RELIST_SHARE = 0.9
# If at least this share of the list is missing after an outage, the listings
# expired. Fewer missing servers have left. Without this share, they were sent
# requests for seconds after an outage of this machine's connection alone.
_MASS_EXPIRY_SHARE = 0.5
# A call that fails this long after the end of its wait had hung, in seconds. An
# available platform answers within half of this even when it is slow.
_HANG_S = 0.4
# A failure within this time after an answer belongs to the outage before it, in
# seconds, because an outage may end with some calls answered and others not.
_SAME_OUTAGE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListingTimes:
    """The times that bound how long an unlisted server is kept.

    Attributes:
      drain_s: The time within which a leaving server must get its last request,
        in seconds.
      renewal_s: The approximate interval at which servers renew their listings,
        in seconds.
    """

    drain_s: float = math.inf
    renewal_s: float = 0.0

    @property
    def relist_s(self) -> float:
        """How long listings may be missing after an outage, in seconds."""
        return min(_RELIST_S, _RELIST_SHARE * self.drain_s)


class ListingExpiry:
    """Distinguishes listings expired in an outage from servers that left."""

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
        """Returns whether the missing servers should still be used.

        Args:
          missing: The ids that are no longer listed.
          listed: All ids that were listed before.
          remaining_s: How long listings may still be missing after the outage,
            in seconds.
          outage_s: How long the platform gave no answer, in seconds.
        """
        if remaining_s <= 0.0:
            self._missing.clear()
            return False
        # A listing lasts for more than one renewal interval. If it is missing
        # after a shorter outage, perhaps of one connection, the server removed
        # it itself, and would be sent requests after its drain time if kept.
        if outage_s < self.times.renewal_s:
            return False
        self._missing |= missing & listed
        return len(self._missing) >= _MASS_EXPIRY_SHARE * len(
            listed | self._missing
        )


class OutageTracker:
    """Measures how long the platform gave no answer.

    A caller cannot distinguish a broken connection from a lost answer, and
    neither shows whether the platform or only one connection failed. The time
    without any answer does: a listing expires only after more than one renewal
    interval.
    """

    def __init__(self, clock: Callable[[], float]):
        """Starts without an outage.

        Args:
          clock: Returns seconds, including time while suspended.
        """
        self._clock = clock
        self._outage_since: float | None = None
        self._outage_began_at = 0.0
        self._returned_at: float | None = None
        self._outage_s = 0.0

    @property
    def outage_s(self) -> float:
        """The maximum length of the last outage, in seconds."""
        return self._outage_s

    def record_failure(self, asked_at: float, wait_s: float) -> None:
        """Records a call that got no answer.

        Args:
          asked_at: When the call was sent, in seconds.
          wait_s: How long the platform may have held the answer, in seconds.
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
        """Records an answer, including one that reports lost history."""
        if self._outage_since is None:
            return
        now = self._clock()
        self._outage_s = now - self._outage_since
        self._outage_since = None
        self._returned_at = now
