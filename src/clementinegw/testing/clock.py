"""Virtual time: a clock that is told to advance, and a loop that tells it.

Code under test takes a `clock.Clock`. Coroutine code runs in a
`VirtualTimeLoop`, which jumps to the next timer when nothing else is ready:
an hour of timeouts takes milliseconds and ends the same every time.
"""

import asyncio
from collections.abc import Callable, Coroutine
import math
import selectors
import time
from typing import Any, TypeVar

T = TypeVar("T")

_START_NOW = 1_000.0
_START_WALL = 1_700_000_000.0
# How long, in real seconds, a loop without any timer waits for a socket or
# another thread before it is taken for a deadlock.
_DEADLOCK_S = 5.0
# A jump as short as this needs no grace: what the kernel delivers a moment
# later is late by no more than that.
_MAX_JUMP_WITHOUT_GRACE_S = 0.02
# A timer may fire a nanosecond early, as on the machine's clock. Code that
# then waits for the rest must see the time move, or it would wait for ever:
# a rest below the clock's precision would leave it where it is.
_MIN_JUMP_S = 1e-6


class VirtualClock:
    """A `clock.Clock` that stands still until it is advanced."""

    def __init__(self, now: float = _START_NOW, wall: float = _START_WALL):
        self._now = now
        self._wall_offset = wall - now

    def now(self) -> float:
        """Returns monotonic seconds."""
        return self._now

    def wall(self) -> float:
        """Returns seconds since the epoch."""
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
        """Moves the clock forward to a time; does nothing when it is past."""
        self._now = max(self._now, now)
        return self._now

    def step_wall(self, seconds: float) -> None:
        """Sets the wall clock forward or back, as a time service does."""
        self._wall_offset += seconds


class _VirtualTimeSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Advances a clock in place of waiting."""

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

    def select(self, timeout: float | None = None) -> list[Any]:
        """Returns what is ready, or advances the clock by the timeout."""
        ready = self._poll(0.0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return self._wait_for_sockets()
        if self._grace_s and timeout > _MAX_JUMP_WITHOUT_GRACE_S:
            ready = self._poll(self._grace_s)
        if not ready:
            self._clock.advance(max(timeout, _MIN_JUMP_S))
        return ready

    def _poll(self, seconds: float) -> list[Any]:
        found = super().select(seconds)
        ready = self._filter_allowed(found)
        if seconds and found and not ready:
            # What is held back is ready all the time and ends the wait at
            # once; the other sockets must have their grace all the same.
            time.sleep(seconds)
            ready = self._filter_allowed(super().select(0.0))
        return ready

    def _filter_allowed(self, found: list[Any]) -> list[Any]:
        allowed = ((key, self._allowed(key.fd, mask)) for key, mask in found)
        return [(key, mask) for key, mask in allowed if mask]

    def _wait_for_sockets(self) -> list[Any]:
        # A loop without timers and without ready sockets would wait for ever
        # and hang the whole test run; an error names the deadlock.
        ready = self._poll(_DEADLOCK_S)
        if not ready:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time.

    Sockets on the loopback work as well: with `grace_s` the loop gives the
    kernel that many real seconds to deliver before it jumps.
    """

    def __init__(
        self,
        clock: VirtualClock | None = None,
        grace_s: float = 0.0,
        tick_s: float = 0.0,
    ):
        """Starts at the clock's time.

        Args:
          clock: The clock to advance; a new one by default.
          grace_s: Real seconds to wait for sockets before each jump but the
            shortest; 0 for code without sockets.
          tick_s: Timers are late by up to this, so that those of many
            processes share one jump; 0 for exact ones.
        """
        self.clock = clock or VirtualClock()
        self._tick_s = tick_s
        super().__init__(
            _VirtualTimeSelector(self.clock, grace_s, self.allowed_events)
        )

    def time(self) -> float:
        """Returns the virtual clock's monotonic seconds."""
        return self.clock.now()

    def call_at(self, when, callback, *args, context=None):  # type: ignore[override]
        """Schedules a timer at the next tick; see `asyncio`."""
        if self._tick_s:
            # Strictly later, for the reason given at `_MIN_JUMP_S`.
            when = (math.floor(when / self._tick_s) + 1) * self._tick_s
        return super().call_at(when, callback, *args, context=context)

    def run_in_executor(self, executor, func, *args):  # type: ignore[override]
        """Runs a function at once: other threads take no virtual time.

        In a thread it would take real time, in which this loop would jump
        from timer to timer, further or less far in each run.
        """
        del executor
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def allowed_events(self, fd: int, events: int) -> int:
        """Returns which of a socket's events may be seen; all of them here."""
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
    """Runs a coroutine to its end in virtual time.

    Tasks that it left behind are cancelled.

    Args:
      coroutine: What to run.
      clock: The clock that the code under test was given.
      grace_s: See `VirtualTimeLoop`.
      make_loop: Makes the loop from the clock and the grace.

    Returns:
      The coroutine's result.
    """
    clock = clock or VirtualClock()
    with asyncio.Runner(
        loop_factory=lambda: make_loop(clock, grace_s)
    ) as runner:
        return runner.run(coroutine)
