"""How fast chunks may pass on the machine's link beside live requests.

A rollout takes what live requests leave of the link, and never less than a
small floor, so that it ends. One bucket a direction; a flag makes both
directions share one.
"""

import asyncio
import heapq
import itertools
import math
from typing import Protocol

from clementinegw import clock as clocks

# Seconds after which live traffic of the past counts for 1/e.
_LIVE_RATE_DECAY_S = 0.5
_BURST_S = 0.02


class Link(Protocol):
    """A link whose rate something else enforces; used by the benches."""

    async def send(self, count: int) -> None:
        """Waits until that many bytes have left."""

    async def receive(self, count: int) -> None:
        """Waits until that many bytes have come in."""


class Bucket:
    """Tokens that come in at the rate that live requests leave."""

    def __init__(
        self,
        rate: float,
        now: float,
        floor: float = 0.1,
        burst: float | None = None,
    ):
        """Starts full.

        Args:
          rate: The link's rate in bytes a second; infinity paces nothing.
          now: Monotonic seconds.
          floor: The share of the rate that is left in any case.
          burst: The most tokens held; a fiftieth of a second by default.
        """
        self._rate = rate
        self._floor = floor
        self._burst = rate * _BURST_S if burst is None else burst
        self._tokens = self._burst
        self._live_bytes_per_s = 0.0
        self._updated_at = now

    @property
    def live_rate(self) -> float:
        """Live bytes a second, a running mean."""
        return self._live_bytes_per_s

    @property
    def rate(self) -> float:
        """Tokens that come in a second at the moment."""
        return max(
            self._floor * self._rate, self._rate - self._live_bytes_per_s
        )

    def record_live(self, count: int, now: float) -> None:
        """Notes bytes of live requests that passed."""
        self._refill(now)
        self._live_bytes_per_s += count / _LIVE_RATE_DECAY_S

    def take(self, count: int, now: float) -> bool:
        """Takes tokens once the level is above zero; it may then go below.

        A part larger than the burst could else never pass.
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
        """Returns seconds until `take` succeeds."""
        if math.isinf(self._rate):
            return 0.0
        self._refill(now)
        # A little above zero, or rounding would wake the taker too early.
        return max(0.0, (1.0 - self._tokens) / self.rate)

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._tokens = min(self._burst, self._tokens + elapsed * self.rate)
        self._live_bytes_per_s *= math.exp(-elapsed / _LIVE_RATE_DECAY_S)
        self._updated_at = now


class Pacer:
    """Lets coroutines pass at a bucket's rate, the smallest order first."""

    def __init__(self, bucket: Bucket, clock: clocks.Clock):
        """Starts with nobody waiting.

        Args:
          bucket: The rate.
          clock: The source of time.
        """
        self._bucket = bucket
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, int, asyncio.Future]] = []
        self._timer: asyncio.TimerHandle | None = None

    @property
    def bucket(self) -> Bucket:
        """The rate."""
        return self._bucket

    def record_live(self, count: int) -> None:
        """Notes bytes of live requests that passed."""
        self._bucket.record_live(count, self._clock.now())

    async def take(self, count: int, order: float = 0.0) -> None:
        """Waits until that many bytes may pass.

        Args:
          count: Bytes.
          order: Those with a smaller one pass first. Chunks that are sent one
            after the other arrive earlier on average than side by side.
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
        """Notes bytes that passed without waiting; the next wait longer."""
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
    """Both directions of one machine's link."""

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
          rate: Bytes a second each way; infinity paces nothing.
          clock: The source of time.
          shared: Whether both directions share the rate.
          floor: The share that live requests leave in any case.
          burst: See `Bucket`.
        """
        now = clock.now()
        self._up = Pacer(Bucket(rate, now, floor, burst), clock)
        self._down = self._up
        if not shared:
            self._down = Pacer(Bucket(rate, now, floor, burst), clock)

    @property
    def up(self) -> Pacer:
        """What the machine sends."""
        return self._up

    @property
    def down(self) -> Pacer:
        """What the machine receives."""
        return self._down

    def record_live(self, sent: int, received: int) -> None:
        """Notes bytes of live requests on the machine's link."""
        self._up.record_live(sent)
        self._down.record_live(received)
