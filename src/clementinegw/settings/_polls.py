"""Limits the rate of long polls and gives up ones that miss a revision."""

import asyncio

from clementinegw import clock as clocks
from clementinegw.settings import exchange

CHECK_INTERVAL_S = 0.5
_GRACE_S = 0.5
# A revision that members advertise may be unreachable. Without this interval, a
# process that cannot get it would poll without a pause.
_GIVE_UP_INTERVAL_S = 2.0
# Batches the changes of a burst: otherwise each change would cost every process
# an exchange of its own. A single change is not delayed.
_MIN_POLL_INTERVAL_S = 0.2


class LongPolls:
    """Paces the long polls of one process and gives up ones that stall."""

    def __init__(
        self,
        peers: exchange.Peers,
        clock: clocks.Clock,
        check_interval_s: float,
    ):
        """Initializes the state without a poll.

        Args:
          peers: The other processes, which advertise newer revisions.
          clock: The source of time.
          check_interval_s: Seconds between two checks of the newest revision
            that the peers advertise.
        """
        self._peers = peers
        self._clock = clock
        self._check_interval_s = check_interval_s
        self._next_poll_at = 0.0
        self._reported_revision = 0
        self._given_up_revision = 0
        self._next_give_up_at = 0.0

    def receive_revision(self, revision: int) -> None:
        """Records a revision that a member advertised."""
        self._reported_revision = max(self._reported_revision, revision)

    async def pace(self) -> None:
        """Waits until the minimum interval since the last poll has passed."""
        wait_s = self._next_poll_at - self._clock.now()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._next_poll_at = self._clock.now() + _MIN_POLL_INTERVAL_S

    async def wait(self, task: asyncio.Future, revision: int) -> bool:
        """Waits for a long poll.

        On a connection that stalls without closing, the poll would last until
        its timeout, and the process would keep old settings for that time. So
        the poll is given up after a short grace time if members advertise a
        newer revision. While they do, a poll is given up again every two
        seconds, because the first peer queried instead may be behind as well.

        Args:
          task: The poll; it is cancelled unless it completes.
          revision: The revision in force.

        Returns:
          Whether the poll completed.
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
        repeated = newest <= self._given_up_revision
        return repeated and self._clock.now() < self._next_give_up_at
