"""Timeouts of calls to other processes."""

import asyncio
import dataclasses

# The lag of a timer from which on the event loop counts as stalled, and for how
# long a call goes on after a stall, in seconds.
MAX_LAG_S = 0.05
_GRACE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of a call.

    There is no bound on the total time of a large answer: it would discard the
    received bytes and request them again, which would permanently occupy a link
    shared by many. Instead, a call ends after silence, or at a rate that no
    working link has.

    Attributes:
      head_s: Time until the head of the answer, in seconds.
      idle_s: Time between two arrivals of bytes, in seconds.
      min_bytes_per_s: Minimum rate of the body after a grace period of
        `idle_s`. A slower connection is given up, as another may be faster.
    """

    head_s: float
    idle_s: float
    min_bytes_per_s: float = 4_096.0


class Watchdog:
    """Ends a call when one of its timeouts expires."""

    def __init__(self, timeouts: Timeouts):
        self._timeouts = timeouts
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._body_started_at = 0.0

    async def __aenter__(self) -> "Watchdog":
        await self._timeout.__aenter__()
        self._schedule(self._loop.time() + self._timeouts.head_s)
        return self

    async def __aexit__(self, *error) -> None:
        self._cancel_timer()
        await self._timeout.__aexit__(*error)

    def head_received(self) -> None:
        """Records that the head of the answer was received."""
        self._body_started_at = self._loop.time()
        self.body_progress(0)

    def body_progress(self, size: int) -> None:
        """Records the number of body bytes received so far."""
        timeouts = self._timeouts
        idle_at = self._loop.time() + timeouts.idle_s
        allowed_s = timeouts.idle_s + size / timeouts.min_bytes_per_s
        self._schedule(min(idle_at, self._body_started_at + allowed_s))

    def _schedule(self, due: float) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_at(due, self._on_due, due)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_due(self, due: float) -> None:
        now = self._loop.time()
        if now - due > MAX_LAG_S:
            # The event loop has stalled: what arrived meanwhile is read first.
            self._schedule(now + _GRACE_S)
        else:
            self._timeout.reschedule(now)
