"""Virtual time: a manually advanced clock and an event loop that advances it.

Code under test takes a `clock.Clock`. Coroutines run in a `VirtualTimeLoop`,
which advances the clock to the next timer when nothing else is ready: an hour
of timeouts takes milliseconds and gives the same result in every run.
"""

import asyncio
from collections.abc import Callable, Coroutine
import math
import selectors
import time
from typing import Any, TypeVar

from clementinegw.testing import loopback

T = TypeVar("T")

_START_NOW = 1_000.0
_START_WALL = 1_700_000_000.0
# Real seconds that a loop without any timer waits for a socket or another
# thread before it reports a deadlock.
_DEADLOCK_S = 5.0
# Up to this length in all, the loop advances without waiting for sockets: data
# that the kernel delivers afterwards is late by no more than this.
_MAX_JUMP_WITHOUT_GRACE_S = 0.02
# Real seconds that a loop waits at most for bytes that the kernel has accepted
# and not delivered, and the interval at which it looks for them. The kernel
# holds back a segment that is not full for 0.2 s at most.
_MAX_DELIVERY_S = 1.0
_DELIVERY_CHECK_S = 0.001
# A timer may fire a nanosecond early, as with the system clock. Code that then
# waits for the remainder would loop forever if the remainder were below the
# clock's precision, because adding it would not change the time.
_MIN_JUMP_S = 1e-6


class VirtualClock:
    """A `clock.Clock` whose time changes only when it is advanced."""

    def __init__(self, now: float = _START_NOW, wall: float = _START_WALL):
        self._now = now
        self._wall_offset = wall - now

    def now(self) -> float:
        """Returns the monotonic time, in seconds."""
        return self._now

    def wall(self) -> float:
        """Returns the wall-clock time, in seconds since the epoch."""
        return self._now + self._wall_offset

    def advance(self, seconds: float) -> float:
        """Moves the clock forward and returns the new time.

        Raises:
          ValueError: The step is negative.
        """
        if seconds < 0:
            raise ValueError(f"time cannot go back by {-seconds} s")
        self._now += seconds
        return self._now

    def advance_to(self, now: float) -> float:
        """Moves the clock forward to a time; ignores a time in the past."""
        self._now = max(self._now, now)
        return self._now

    def step_wall(self, seconds: float) -> None:
        """Moves the wall clock forward or back, as a time service does."""
        self._wall_offset += seconds


class _VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances a clock instead of waiting."""

    def __init__(
        self,
        clock: VirtualClock,
        grace_s: float,
        allowed: Callable[[int, int], int],
    ):
        super().__init__()
        self._clock = clock
        self._grace_s = grace_s
        self._allowed = allowed
        self._traffic = loopback.Traffic()
        self._advanced_s = 0.0

    def register(self, fileobj, events, data=None):
        """Registers a socket; see `selectors.BaseSelector`."""
        key = super().register(fileobj, events, data)
        self._traffic.add(key.fd)
        return key

    def unregister(self, fileobj):
        """Unregisters a socket; see `selectors.BaseSelector`."""
        key = super().unregister(fileobj)
        if self._grace_s:
            self._traffic.remove(key.fd)
        return key

    def select(self, timeout: float | None = None) -> list[Any]:
        """Returns ready events, or advances the clock by the timeout."""
        ready = self._poll(0.0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return self._wait_for_sockets()
        if self._grace_s and timeout > _MAX_JUMP_WITHOUT_GRACE_S:
            ready = self._poll(self._grace_s)
        if not ready and self._grace_s:
            self._advanced_s += timeout
            if self._advanced_s > _MAX_JUMP_WITHOUT_GRACE_S:
                ready = self._wait_for_delivery()
                self._advanced_s = 0.0
        if not ready:
            self._clock.advance(max(timeout, _MIN_JUMP_S))
        return ready

    def _poll(self, seconds: float) -> list[Any]:
        found = super().select(seconds)
        ready = self._filter_allowed(found)
        if seconds and found and not ready:
            # Sockets whose events are held back are always ready and end the
            # wait at once; the others still need the full grace time.
            time.sleep(seconds)
            ready = self._filter_allowed(super().select(0.0))
        return ready

    def _wait_for_delivery(self) -> list[Any]:
        """Returns the events of bytes that the kernel delivers late."""
        ready: list[Any] = []
        until = time.monotonic() + _MAX_DELIVERY_S
        while (
            not ready
            and time.monotonic() < until
            and self._traffic.is_under_way(self._fds())
        ):
            ready = self._poll(_DELIVERY_CHECK_S)
        # The bytes may have arrived since the last poll.
        return ready or self._poll(0.0)

    def _fds(self) -> list[int]:
        return [key.fd for key in self.get_map().values()]

    def _filter_allowed(self, found: list[Any]) -> list[Any]:
        allowed = ((key, self._allowed(key.fd, mask)) for key, mask in found)
        return [(key, mask) for key, mask in allowed if mask]

    def _wait_for_sockets(self) -> list[Any]:
        # A loop without timers and ready sockets would wait forever and hang
        # the test run; an error reports the deadlock instead.
        ready = self._poll(_DEADLOCK_S)
        if not ready:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time.

    Sockets on the loopback interface are supported: with `grace_s` the loop
    waits that many real seconds for them before it advances the clock, and for
    as long as bytes between two of its sockets are under way.
    """

    def __init__(
        self,
        clock: VirtualClock | None = None,
        grace_s: float = 0.0,
        tick_s: float = 0.0,
    ):
        """Creates a loop that starts at the clock's time.

        Args:
          clock: The clock to advance; a new one by default.
          grace_s: Real seconds to wait for sockets before each advance of more
            than 0.02 s; 0 for code without sockets.
          tick_s: Seconds to which timers are rounded up, so that the timers of
            many processes fire together; 0 for exact timers.
        """
        self.clock = clock or VirtualClock()
        self._tick_s = tick_s
        super().__init__(
            _VirtualTimeSelector(self.clock, grace_s, self.allowed_events)
        )

    def time(self) -> float:
        """Returns the virtual clock's monotonic time, in seconds."""
        return self.clock.now()

    def call_at(self, when, callback, *args, context=None):  # type: ignore[override]
        """Schedules a timer, rounded up to the next tick; see `asyncio`."""
        if self._tick_s:
            # Strictly later, for the reason stated at `_MIN_JUMP_S`.
            when = (math.floor(when / self._tick_s) + 1) * self._tick_s
        return super().call_at(when, callback, *args, context=context)

    def run_in_executor(self, executor, func, *args):  # type: ignore[override]
        """Runs a function immediately in this thread, in no virtual time.

        In another thread it would take real time, during which this loop would
        advance by an amount that differs from run to run.
        """
        del executor
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def allowed_events(self, fd: int, events: int) -> int:
        """Returns the events of a socket to deliver; all of them here."""
        del fd
        return events


def run(
    coroutine: Coroutine[Any, Any, T],
    clock: VirtualClock | None = None,
    grace_s: float = 0.0,
    make_loop: Callable[[VirtualClock, float], VirtualTimeLoop] = (
        VirtualTimeLoop
    ),
) -> T:
    """Runs a coroutine to completion in virtual time.

    Tasks that are still pending at its end are cancelled.

    Args:
      coroutine: The coroutine to run.
      clock: The clock that the code under test uses; a new one by default.
      grace_s: See `VirtualTimeLoop`.
      make_loop: Creates the loop from the clock and `grace_s`.

    Returns:
      The coroutine's result.
    """
    clock = clock or VirtualClock()
    with asyncio.Runner(
        loop_factory=lambda: make_loop(clock, grace_s)
    ) as runner:
        return runner.run(coroutine)
