"""The order in which queued requests get free slots.

It answers a load that exceeds the free slots for some seconds: first what can
no longer be refused, then what can still be on time, and among those the more
urgent rank. A late request goes behind all that can be on time, whatever its
rank: served first, it would stay late and make another one late.
"""

from collections.abc import Callable, Collection
from typing import Protocol

from clementinegw.scheduling import rank as ranks


class Queued(Protocol):
    """A queued request.

    Attributes:
      rank: Its rank.
      customer: Name of its customer; empty for an anonymous caller.
      begun: Whether its answer has begun.
      latest_start: When it must start to be on time, in monotonic seconds.
    """

    rank: ranks.Rank
    customer: str
    begun: bool
    latest_start: float

    def is_late(self, now: float) -> bool:
        """Returns whether it can no longer be on time."""


def sort_key(
    request: Queued,
    now: float,
    is_over_share: Callable[[str], bool],
    starving: Collection[ranks.Rank] = (),
) -> tuple[bool, bool, bool, ranks.Rank, bool, float]:
    """Returns the key by which queued requests are sorted.

    Args:
      request: The request.
      now: Monotonic seconds.
      is_over_share: Returns whether a customer uses more than its share, so
        that others of the same rank go first.
      starving: Ranks that go before others because they are served too little.
    """
    return (
        not request.begun,
        request.is_late(now),
        request.rank not in starving,
        request.rank,
        is_over_share(request.customer),
        request.latest_start,
    )
