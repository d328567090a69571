"""How long a call to another process may say nothing."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """How long a call may say nothing.

    A bound on the whole of a large answer would throw away what has come and
    ask for the same bytes again; on a link that many share it never gets
    free. So only silence ends a call, and a rate that no sound link has.

    Attributes:
      head_s: Until the head of the answer, in seconds.
      idle_s: Between two arrivals of bytes, in seconds.
      min_bytes_per_s: A body that comes more slowly than this, after
        `idle_s` of grace, is given up: its connection trickles, and another
        one may do better.
    """

    head_s: float
    idle_s: float
    min_bytes_per_s: float = 4_096.0


class Watchdog:
    """Gives a call up when its patience is over."""

    def __init__(self, timeouts: Timeouts):
        self._timeouts = timeouts
        self._clock = asyncio.get_running_loop().time
        self._timeout = asyncio.timeout(timeouts.head_s)
        self._begun_at = 0.0

    async def __aenter__(self) -> "Watchdog":
        await self._timeout.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        await self._timeout.__aexit__(*error)

    def head_received(self) -> None:
        """Notes that the head has come."""
        self._begun_at = self._clock()
        self.body_progress(0)

    def body_progress(self, size: int) -> None:
        """Notes how many bytes of the body have come so far."""
        timeouts = self._timeouts
        idle_at = self._clock() + timeouts.idle_s
        earned_s = timeouts.idle_s + size / timeouts.min_bytes_per_s
        self._timeout.reschedule(min(idle_at, self._begun_at + earned_s))
