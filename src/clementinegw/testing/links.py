"""Token buckets and rate-limited links, for decisions and coroutines."""

import asyncio

from clementinegw import clock as clocks


class TokenBucket:
    """A token bucket with a rate and a burst size.

    Requests are served in order: each one reserves its tokens at once and then
    waits until they are available, so that small requests cannot starve a
    large one.
    """

    def __init__(
        self,
        rate: float,
        burst: float | None = None,
        clock: clocks.Clock | None = None,
    ):
        """Creates a full bucket.

        Args:
          rate: Tokens added per second; above zero.
          burst: Maximum number of tokens; `rate` / 10 by default.
          clock: The source of time; the system clock by default.

        Raises:
          ValueError: The rate is not above zero.
        """
        if rate <= 0:
            raise ValueError(f"rate must be above 0, is {rate}")
        self._rate = rate
        self._burst = rate / 10 if burst is None else burst
        self._clock = clock or clocks.SystemClock()
        self._level = self._burst
        self._filled_at = self._clock.now()

    @property
    def rate(self) -> float:
        """Tokens added per second."""
        return self._rate

    @property
    def level(self) -> float:
        """Tokens available now; negative while requests wait."""
        self._fill()
        return self._level

    def set_rate(self, rate: float) -> None:
        """Changes the rate, effective immediately."""
        self._fill()
        self._rate = rate

    def try_take(self, count: float = 1.0) -> bool:
        """Takes tokens if available; returns whether it did."""
        self._fill()
        if self._level < count:
            return False
        self._level -= count
        return True

    def reserve(self, count: float = 1.0) -> float:
        """Takes tokens, in advance if necessary.

        Args:
          count: Number of tokens; may exceed the burst.

        Returns:
          Seconds until the tokens are available; 0.0 if they already are.
        """
        self._fill()
        self._level -= count
        return max(0.0, -self._level / self._rate)

    async def take(self, count: float = 1.0) -> None:
        """Takes tokens and waits until they are available."""
        wait_s = self.reserve(count)
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def _fill(self) -> None:
        now = self._clock.now()
        added = (now - self._filled_at) * self._rate
        self._filled_at = now
        self._level = min(self._burst, self._level + added)


class ShapedLink:
    """One machine's link, with a rate per direction or a shared one."""

    def __init__(
        self,
        up_bytes_per_s: float,
        down_bytes_per_s: float | None = None,
        shared: bool = False,
        latency_s: float = 0.0,
        clock: clocks.Clock | None = None,
        burst_s: float = 0.01,
    ):
        """Creates an idle link.

        Args:
          up_bytes_per_s: Send rate of the machine, in bytes per second.
          down_bytes_per_s: Receive rate, in bytes per second; the send rate by
            default.
          shared: Whether both directions share one bucket at
            `up_bytes_per_s`.
          latency_s: One-way latency of each transfer, in seconds.
          clock: The source of time; the system clock by default.
          burst_s: Burst size, in seconds at the link's rate.
        """
        down_rate = down_bytes_per_s or up_bytes_per_s
        self._up = TokenBucket(up_bytes_per_s, up_bytes_per_s * burst_s, clock)
        self._down = (
            self._up
            if shared
            else TokenBucket(down_rate, down_rate * burst_s, clock)
        )
        self._latency_s = latency_s
        self._sent = 0
        self._received = 0

    @property
    def latency_s(self) -> float:
        """One-way latency of each transfer, in seconds."""
        return self._latency_s

    @property
    def sent(self) -> int:
        """Bytes sent so far."""
        return self._sent

    @property
    def received(self) -> int:
        """Bytes received so far."""
        return self._received

    def reserve_send(self, count: int) -> float:
        """Reserves bytes to send; returns the seconds until they are sent."""
        self._sent += count
        return self._up.reserve(count)

    def reserve_receive(self, count: int) -> float:
        """Reserves bytes to receive; returns the seconds until they arrive."""
        self._received += count
        return self._down.reserve(count)

    async def send(self, count: int) -> None:
        """Waits until `count` bytes are sent."""
        await asyncio.sleep(self.reserve_send(count) + self._latency_s)

    async def receive(self, count: int) -> None:
        """Waits until `count` bytes are received."""
        await asyncio.sleep(self.reserve_receive(count) + self._latency_s)


async def transfer(
    sender: ShapedLink, receiver: ShapedLink, count: int
) -> None:
    """Waits for the duration of a transfer between two machines.

    Both links are reserved at the same time, and the slower one determines the
    duration, as for a stream over both.
    """
    wait_s = max(sender.reserve_send(count), receiver.reserve_receive(count))
    latency_s = max(sender.latency_s, receiver.latency_s)
    await asyncio.sleep(wait_s + latency_s)
