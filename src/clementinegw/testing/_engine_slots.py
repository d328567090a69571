"""The batch slots of an engine stand-in and its delayed load report."""

import asyncio
import collections
from collections.abc import Callable
import heapq
import itertools


class Slots:
    """Admits queued requests to the batch, highest priority first."""

    def __init__(self, capacity: int, on_change: Callable[[], None]):
        """Creates a batch with all slots free.

        Args:
          capacity: The maximum number of requests in the batch.
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
        """The maximum number of requests in the batch."""
        return self._capacity

    @property
    def running(self) -> int:
        """The number of requests in the batch."""
        return self._running

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a slot."""
        return self._waiting

    async def acquire(self, priority: int) -> None:
        """Waits for a slot, which the caller must release."""
        if self._running < self._capacity:
            self._running += 1
            self._on_change()
            return
        await self._wait(priority)
        self._on_change()

    def release(self) -> None:
        """Passes the slot to the next queued request, or frees it."""
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
            # The slot may have been assigned in the same iteration of the event
            # loop. Unless it is released, the batch stays one slot smaller.
            if future.done() and not future.cancelled():
                self.release()
            raise
        finally:
            self._waiting -= 1


class DelayedLoad:
    """Reports the load of the batch with a delay."""

    def __init__(self, lag_s: float):
        """Creates a report of an idle batch.

        Args:
          lag_s: The age of the reported load, in seconds.
        """
        self._lag_s = lag_s
        self._changes: collections.deque[tuple[float, int, int]]
        self._changes = collections.deque([(0.0, 0, 0)])

    def record(self, now: float, running: int, waiting: int) -> None:
        """Records the current load of the batch."""
        self._changes.append((now, running, waiting))
        self._trim(now)

    def report(self, now: float) -> tuple[int, int]:
        """Returns the running and waiting requests as of `lag_s` ago."""
        self._trim(now)
        return self._changes[0][1:]

    def _trim(self, now: float) -> None:
        changes = self._changes
        while len(changes) > 1 and changes[1][0] <= now - self._lag_s:
            changes.popleft()
