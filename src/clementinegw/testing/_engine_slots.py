"""The batch of an engine stand-in: slots, priorities, lagging load."""

import asyncio
import collections
from collections.abc import Callable
import heapq
import itertools


class Slots:
    """Admits waiting requests to the batch, the most urgent first."""

    def __init__(self, capacity: int, on_change: Callable[[], None]):
        """Starts with all slots free.

        Args:
          capacity: The largest batch.
          on_change: Called when a request joins the queue, enters the batch or
            leaves it.
        """
        self._capacity = capacity
        self._on_change = on_change
        self._running = 0
        self._waiting = 0
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._counter = itertools.count()

    @property
    def capacity(self) -> int:
        """The largest batch."""
        return self._capacity

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait for the batch."""
        return self._waiting

    async def acquire(self, priority: int) -> None:
        """Waits for a slot; the caller releases it."""
        if self._running < self._capacity:
            self._running += 1
            self._on_change()
            return
        await self._wait(priority)
        self._on_change()

    def release(self) -> None:
        """Gives a slot to the next in the queue, or frees it."""
        while self._queue:
            _, _, future = heapq.heappop(self._queue)
            if not future.done():
                future.set_result(None)
                return
        self._running -= 1
        self._on_change()

    async def _wait(self, priority: int) -> None:
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (-priority, next(self._counter), future))
        self._waiting += 1
        self._on_change()
        try:
            await future
        except asyncio.CancelledError:
            # The slot may have been given in the same step of the loop; kept,
            # it would be lost and the batch one smaller for good.
            if future.done() and not future.cancelled():
                self.release()
            raise
        finally:
            self._waiting -= 1


class DelayedLoad:
    """What the batch looked like some time ago."""

    def __init__(self, lag_s: float):
        """Starts with an idle batch.

        Args:
          lag_s: How old the report is, in seconds.
        """
        self._lag_s = lag_s
        self._changes: collections.deque[tuple[float, int, int]]
        self._changes = collections.deque([(0.0, 0, 0)])

    def record(self, now: float, running: int, waiting: int) -> None:
        """Notes the batch as it is now."""
        self._changes.append((now, running, waiting))
        self._trim(now)

    def report(self, now: float) -> tuple[int, int]:
        """Returns running and waiting requests as of `lag_s` ago."""
        self._trim(now)
        return self._changes[0][1:]

    def _trim(self, now: float) -> None:
        changes = self._changes
        while len(changes) > 1 and changes[1][0] <= now - self._lag_s:
            changes.popleft()
