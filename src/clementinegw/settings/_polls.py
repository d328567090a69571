"""Long polls that do not hang while others know more, and keep a distance."""

import asyncio

from clementinegw import clock as clocks
from clementinegw.settings import exchange

CHECK_INTERVAL_S = 0.5
_GRACE_S = 0.5
# What the members know may not be to be had: without a pause, a process that
# cannot get it would do nothing but ask.
_GIVE_UP_INTERVAL_S = 2.0
# In a burst of changes, each would else cost every process an exchange of its
# own; so they are taken together. A lone change is not held back.
_MIN_POLL_INTERVAL_S = 0.2


class LongPolls:
    """Waits for the long polls of one process."""

    def __init__(
        self,
        peers: exchange.Peers,
        clock: clocks.Clock,
        check_interval_s: float,
    ):
        """Starts without any.

        Args:
          peers: Tell of newer revisions.
          clock: The source of time.
          check_interval_s: Seconds between two looks at what they tell.
        """
        self._peers = peers
        self._clock = clock
        self._check_interval_s = check_interval_s
        self._next_poll_at = 0.0
        self._reported_revision = 0
        self._given_up_revision = 0
        self._next_give_up_at = 0.0

    def receive_revision(self, revision: int) -> None:
        """Takes a revision that a member was heard to have."""
        self._reported_revision = max(self._reported_revision, revision)

    async def pace(self) -> None:
        """Keeps a distance between two long polls."""
        ahead_s = self._next_poll_at - self._clock.now()
        if ahead_s > 0:
            await asyncio.sleep(ahead_s)
        self._next_poll_at = self._clock.now() + _MIN_POLL_INTERVAL_S

    async def wait(self, task: asyncio.Future, revision: int) -> bool:
        """Waits for a long poll.

        A link that stalls without closing would hold it for as long as its
        timeout; one would notice a process that keeps old settings for that
        long. So it is given up once the members have known a newer revision
        for a moment, and again every two seconds while they do: the first peer
        that is asked may be behind as well.

        Args:
          task: The poll; it is cancelled unless it is done in time.
          revision: The revision in force.

        Returns:
          Whether the poll is done.
        """
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=self._check_interval_s)
                newest = max(
                    self._peers.newest_revision(), self._reported_revision
                )
                if (
                    task.done()
                    or newest <= revision
                    or self._is_too_early(newest)
                ):
                    continue
                await asyncio.wait({task}, timeout=_GRACE_S)
                if not task.done():
                    self._given_up_revision = newest
                    self._next_give_up_at = (
                        self._clock.now() + _GIVE_UP_INTERVAL_S
                    )
                    return False
            return True
        finally:
            task.cancel()

    def _is_too_early(self, newest: int) -> bool:
        again = newest <= self._given_up_revision
        return again and self._clock.now() < self._next_give_up_at
