"""Carries out the decisions of a swap lease: reads and appends to the log."""

import asyncio
from collections.abc import Callable

from clementinegw import clock as clocks
from clementinegw import exceptions
from clementinegw.platform import log
from clementinegw.telemetry import counters as metrics
from clementinegw.weights import swap as swaps

READ_WAIT_S = 5.0
TICK_INTERVAL_S = 0.25
READ_RETRY_S = 0.5
CLOSE_TIMEOUT_S = 1.0


def stream_name(service: str) -> str:
    """Returns the name of the log stream with a service's leases."""
    return f"swaps-{service}"


class SwapRunner:
    """Follows the stream while the worker holds or waits for a lease."""

    def __init__(
        self,
        swap: swaps.Swap,
        log_client: log.LogClient,
        service: str,
        clock: clocks.Clock,
        counters: metrics.Counters,
        on_action: Callable[[swaps.Action], None],
    ):
        """Initializes the runner; `run` does the work.

        Args:
          swap: The lease whose decisions are carried out.
          log_client: The client of the platform's log.
          service: The service whose workers share the leases.
          clock: The source of time.
          counters: The counters of appends and failures, `weights.swap.*`.
          on_action: Called with `Granted`, `Covered` and `Lost`.
        """
        self._swap = swap
        self._log = log_client
        self._stream = stream_name(service)
        self._clock = clock
        self._counters = counters
        self._on_action = on_action
        self._wake = asyncio.Event()
        self._read_now = asyncio.Event()
        self._append_queue: asyncio.Queue[bytes] = asyncio.Queue()

    @property
    def queue_counts(self) -> tuple[int, int]:
        """How many workers are out, and how many wait before this one."""
        return self._swap.queue_counts

    def set_max_load_s(self, max_load_s: float) -> None:
        """Sets the longest time a load may take, in seconds."""
        self._swap.set_max_load_s(max_load_s)

    def acquire(self, limit: int, spread_s: float) -> None:
        """Requests the permit to be out of service; see `swap.Swap.acquire`."""
        self._swap.acquire(self._clock.now(), limit, spread_s)
        self._wake.set()

    def cover(self) -> None:
        """Extends the permit to cover a whole load."""
        self._swap.cover()
        self._tick()

    def release(self) -> None:
        """Releases the permit."""
        self._swap.release()
        self._tick()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_loop())
            group.create_task(self._tick_loop())
            group.create_task(self._append_loop())

    async def close(self) -> None:
        """Releases the lease or the place in the queue, in a single attempt.

        Otherwise the other workers could not use this worker's place until its
        lease expires.
        """
        self._swap.release()
        for action in self._swap.on_tick(self._clock.now()):
            if isinstance(action, swaps.Append):
                try:
                    async with asyncio.timeout(CLOSE_TIMEOUT_S):
                        await self._log.append(self._stream, action.value)
                except (exceptions.PlatformError, TimeoutError):
                    self._counters.add("weights.swap.append_unknown")

    async def _read_loop(self) -> None:
        while True:
            await self._wake.wait()
            if not self._swap.active:
                self._wake.clear()
                continue
            try:
                page = await self._log.read(
                    self._stream, self._swap.next_offset, wait_s=READ_WAIT_S
                )
            except exceptions.PlatformError:
                self._counters.add("weights.swap.read_failed")
                await asyncio.sleep(READ_RETRY_S)
                continue
            self._carry_out(self._swap.on_page(self._clock.now(), page))
            if self._swap.read_pause_s:
                await self._pause_reading(self._swap.read_pause_s)

    async def _pause_reading(self, seconds: float) -> None:
        self._read_now.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._read_now.wait()
        except TimeoutError:
            pass

    async def _tick_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _append_loop(self) -> None:
        while True:
            value = await self._append_queue.get()
            try:
                await self._log.append(self._stream, value)
                self._counters.add("weights.swap.appended")
            except exceptions.PlatformError:
                # The record may be in the log all the same. The swap waits
                # until it is read back and repeats it if it is not.
                self._counters.add("weights.swap.append_unknown")

    def _tick(self) -> None:
        self._carry_out(self._swap.on_tick(self._clock.now()))

    def _carry_out(self, actions: list[swaps.Action]) -> None:
        for action in actions:
            if isinstance(action, swaps.Append):
                self._send(action.value)
            else:
                self._on_action(action)

    def _send(self, value: bytes) -> None:
        # While the log is slow, only the latest record is worth sending.
        while not self._append_queue.empty():
            self._append_queue.get_nowait()
        self._read_now.set()
        self._append_queue.put_nowait(value)
