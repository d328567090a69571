"""Pacing of chunks on the machine's link alongside live requests.

A rollout uses the bandwidth that live requests leave, but at least a small
floor, so that it completes. There is one token bucket per direction; a flag
makes both directions share one.
"""

import asyncio
import heapq
import itertools
import math
from typing import Protocol

from clementinegw import clock as clocks

# The time constant of the running mean of the live rate, in seconds.
_LIVE_RATE_DECAY_S = 0.5
_BURST_S = 0.02


class Link(Protocol):
    """A link whose rate is enforced elsewhere; used by the benches."""

    async def send(self, count: int) -> None:
        """Waits until that many bytes have been sent."""

    async def receive(self, count: int) -> None:
        """Waits until that many bytes have been received."""


class Bucket:
    """A token bucket that refills at the rate that live requests leave."""

    def __init__(
        self,
        rate: float,
        now: float,
        floor: float = 0.1,
        burst: float | None = None,
    ):
        """Starts full.

        Args:
          rate: The link's rate in bytes per second; infinity disables pacing.
          now: The current time in monotonic seconds.
          floor: The minimum share of the rate that is available.
          burst: The bucket's capacity in bytes; by default the bytes of a
            fiftieth of a second.
        """
        self._rate = rate
        self._floor = floor
        self._burst = rate * _BURST_S if burst is None else burst
        self._tokens = self._burst
        self._live_bytes_per_s = 0.0
        self._updated_at = now

    @property
    def live_rate(self) -> float:
        """The running mean of live bytes per second."""
        return self._live_bytes_per_s

    @property
    def rate(self) -> float:
        """The current refill rate in tokens per second."""
        return max(
            self._floor * self._rate, self._rate - self._live_bytes_per_s
        )

    def record_live(self, count: int, now: float) -> None:
        """Records bytes of live requests that passed."""
        self._refill(now)
        self._live_bytes_per_s += count / _LIVE_RATE_DECAY_S

    def take(self, count: int, now: float) -> bool:
        """Takes tokens if the level is above zero; it may drop below zero.

        Otherwise a part larger than the burst could never pass.

        Args:
          count: The number of tokens, which are bytes.
          now: The current time in monotonic seconds.

        Returns:
          Whether the tokens were taken.
        """
        if math.isinf(self._rate):
            return True
        self._refill(now)
        if self._tokens <= 0:
            return False
        self._tokens -= count
        return True

    def charge(self, count: int, now: float) -> None:
        """Takes tokens for bytes that have passed already."""
        if not math.isinf(self._rate):
            self._refill(now)
            self._tokens -= count

    def ready_in(self, now: float) -> float:
        """Returns the time until `take` succeeds, in seconds."""
        if math.isinf(self._rate):
            return 0.0
        self._refill(now)
        # Slightly above zero, or rounding would wake the waiter too early.
        return max(0.0, (1.0 - self._tokens) / self.rate)

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._tokens = min(self._burst, self._tokens + elapsed * self.rate)
        self._live_bytes_per_s *= math.exp(-elapsed / _LIVE_RATE_DECAY_S)
        self._updated_at = now


class Pacer:
    """Admits coroutines at a bucket's rate, lowest order first."""

    def __init__(self, bucket: Bucket, clock: clocks.Clock):
        """Starts without waiters.

        Args:
          bucket: Determines the rate.
          clock: The source of time.
        """
        self._bucket = bucket
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, int, asyncio.Future]] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def bucket(self) -> Bucket:
        """The bucket that determines the rate."""
        return self._bucket

    def record_live(self, count: int) -> None:
        """Records bytes of live requests that passed."""
        self._bucket.record_live(count, self._clock.now())

    async def take(self, count: int, order: float = 0.0) -> None:
        """Waits until that many bytes may pass.

        Args:
          count: The number of bytes.
          order: Waiters with a lower order pass first. Chunks sent one after
            another arrive earlier on average than chunks sent in parallel.
        """
        now = self._clock.now()
        if not self._waiting and self._bucket.take(count, now):
            return
        future = asyncio.get_running_loop().create_future()
        entry = (order, next(self._sequence), count, future)
        heapq.heappush(self._waiting, entry)
        self._schedule_wake()
        await future

    def charge(self, count: int) -> None:
        """Records bytes that passed unpaced; later bytes wait longer."""
        self._bucket.charge(count, self._clock.now())

    def _schedule_wake(self) -> None:
        if self._timer is None:
            delay = self._bucket.ready_in(self._clock.now())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._timer = None
        now = self._clock.now()
        while self._waiting:
            _, _, count, future = self._waiting[0]
            if not future.done():
                if not self._bucket.take(count, now):
                    self._schedule_wake()
                    return
                future.set_result(None)
            heapq.heappop(self._waiting)


class Pacing:
    """Paces both directions of one machine's link."""

    def __init__(
        self,
        rate: float,
        clock: clocks.Clock,
        shared: bool = False,
        floor: float = 0.1,
        burst: float | None = None,
    ):
        """Starts idle.

        Args:
          rate: The rate per direction in bytes per second; infinity disables
            pacing.
          clock: The source of time.
          shared: Whether both directions share the rate.
          floor: The minimum share of the rate that is available.
          burst: The capacity of each bucket; see `Bucket`.
        """
        now = clock.now()
        self._up = Pacer(Bucket(rate, now, floor, burst), clock)
        self._down = self._up
        if not shared:
            self._down = Pacer(Bucket(rate, now, floor, burst), clock)

    @property
    def up(self) -> Pacer:
        """Paces what the machine sends."""
        return self._up

    @property
    def down(self) -> Pacer:
        """Paces what the machine receives."""
        return self._down

    def record_live(self, sent: int, received: int) -> None:
        """Records bytes of live requests on the machine's link."""
        self._up.record_live(sent)
        self._down.record_live(received)
